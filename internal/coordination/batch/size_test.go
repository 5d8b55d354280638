package batch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/batch"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

// sentBytes returns the number of bytes of an object as it is sent.
func sentBytes(obj object.Object) int {
	m := map[string]any{"Name": obj.Name(), "Revision": obj.Version()}
	b, _ := json.Marshal(map[string]any{"Metadata": m, "Spec": json.RawMessage(obj.Value()), "Status": nil})
	return len(b)
}

// newBody returns an answer whose output takes size bytes as a JSON string, of a character
// that takes charBytes, with line feeds.
func newBody(char string, charBytes, size int) io.ReadCloser {
	n := size - len(`""`)
	l := 10_000*charBytes + len(`\n`)
	b := strings.Repeat("data: "+strings.Repeat(char, 10_000)+"\n\n", n/l)
	b += "data: " + strings.Repeat(char, n%l/charBytes) + strings.Repeat("x", n%l%charBytes) + "\n\n"
	return io.NopCloser(strings.NewReader(b))
}

// countSized returns the number of results of the given sizes, and ten for each one that
// is given up, and -1 if a read returns more than 1 MB.
func countSized(ctx context.Context, jobs *batch.Jobs, sizes []int) int {
	n := 0
	for p := 0; p < len(sizes); {
		_, l, e := jobs.Results(ctx, "job", p, 0)
		z := 0
		for _, r := range l {
			b, _ := json.Marshal(r.GetOutput())
			z += len(b)
			if r.GetFailed() {
				n += 10
			} else if len(b) == sizes[r.GetId()[1]-'0'] {
				n++
			}
		}
		p += len(l)
		if z > 1<<20 {
			return -1
		}
		if e != nil || len(l) == 0 {
			break
		}
	}
	return n
}

// Guards against results that are larger as sent than they were counted: the platform
// refuses them, with all later ones of their job. One that no object can hold must be
// given up when the wait of its route is over, and no sooner.
func TestResultsAreLargerAsSentThanCounted(t *testing.T) {
	// Bytes of an object with one result beside its output, and of another result.
	o, p := len(`{"results":[{"id":"i0","failed":false,"output":}]}`), len(`,{"id":"i1","failed":false,"output":}`)
	h, m := valueBytes/2-o-p, valueBytes-512-o
	for c, w := range map[string]int{"<": 6, "\x01": 6, "😀": 4} {
		for _, k := range []struct {
			sizes []int
			// Results as countSized tells after 10 s and after the wait, and their objects.
			early, late, objects int
		}{
			{[]int{h / 2, h - h/2}, 2, 2, 1},
			{[]int{h / 2, h - h/2 + 1}, 2, 2, 2},
			{[]int{400 << 10, 400 << 10, 400 << 10, 400 << 10}, 4, 4, 4},
			{[]int{m, 100}, 2, 2, 2},
			{[]int{m + 1, 100}, 1, 11, 1},
		} {
			t.Run(fmt.Sprintf("%q %d", c, k.sizes), func(t *testing.T) {
				withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
					store.sentLimit = valueBytes
					store.setRoutes(changedRoute(func(r *wire.RouteRule) { r.SetMaxWaitMs(20_000) }))
					for n, s := range k.sizes {
						engine.setBodies(fmt.Sprint("i", n), newBody(c, w, s), newBody(c, w, s), newBody(c, w, s), newBody(c, w, s))
					}
					j := newJobs(t, ctx, "a", store, engine, valueBytes)
					accept(t, ctx, j, "job", len(k.sizes))
					var g []int
					for _, d := range []time.Duration{10 * time.Second, 15 * time.Second} {
						time.Sleep(d)
						g = append(g, countSized(ctx, j, k.sizes))
					}
					n := 0
					for _, x := range store.keys() {
						n += min(store.resultCount(x), 1)
						// A front of an earlier version appends to an object without the mark.
						if v := store.objects[x].Value(); sentBytes(store.objects[x]) > valueBytes/2+512 && !strings.Contains(string(v[len(v)-20:]), "full") {
							t.Error("object is not marked as full:", x)
						}
					}
					if d := cmp.Diff([]int{k.early, k.late, k.objects, 0}, append(g, n, store.refusedWrites)); d != "" {
						t.Error(d)
					}
				})
			})
		}
	}
}

// Guards against a job that is never accepted because its items are larger as sent than
// they were counted, and against one with an item that no object can hold and whose
// caller is told to come again.
func TestItemsAreLargerAsSentThanCounted(t *testing.T) {
	for _, k := range []struct {
		items, header, body int
		want                string
	}{{4, 60_000, 0, ""}, {9, 0, 250_000, ""}, {1, 0, 785_000, ""}, {1, 0, 787_000, "item-too-large"}, {1, 175_000, 0, "item-too-large"}} {
		withFakes(t, func(t *testing.T, ctx context.Context, store *memStore, engine *fakeEngine) {
			store.sentLimit = valueBytes
			l := newItems(k.items)
			for _, i := range l {
				i.SetHeaders([]*wire.Header{wire.Header_builder{Name: proto.String("N"), Values: []string{strings.Repeat("<", k.header)}}.Build()})
				i.SetBody(make([]byte, k.body))
			}
			j := newJobs(t, ctx, "a", store, engine, valueBytes)
			c, f := context.WithTimeout(ctx, 2*time.Second)
			defer f()
			e := j.Accept(c, batchRoute(), "", "job", "h", "/b/1", l)
			if (e == nil) != (k.want == "") || e != nil && trail.CodeOf(e) != k.want {
				t.Error(k.items, k.header, k.body, e)
			}
			time.Sleep(10 * time.Second)
		})
	}
}
