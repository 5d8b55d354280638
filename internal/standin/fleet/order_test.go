package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"bulrushtrail.example/trail/internal/standin/fleet"
)

const (
	callerKey    = "key-mostrador-17"
	plainService = "pedidos-app"
	// A request that waits for the unknown outcome of an earlier one with its
	// key is answered at its deadline.
	orderDeadlineMS = "3000"
	// The answer was lost with its connection.
	noVerdict = ""
)

// orders sends reorders and keeps what callers are told. Each key is one
// reorder, which must run at most once however often it is sent.
type orders struct {
	x *fleet.Fleet
	// Opens a connection for each request, because net/http sends a request
	// with an Idempotency-Key again by itself when a reused connection closes.
	k http.Client

	m sync.Mutex
	// Verdicts and bodies of the answers by idempotency key.
	verdicts, bodies map[string][]string
	w                sync.WaitGroup
}

func newOrders(x *fleet.Fleet) *orders {
	return &orders{
		x: x, k: http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		verdicts: map[string][]string{}, bodies: map[string][]string{},
	}
}

// send sends one reorder through an entry, counted from 1, and returns the
// verdict that its caller was told.
func (o *orders) send(c context.Context, entry int, key string) string {
	v, b := o.exchange(c, entry, key)
	o.m.Lock()
	defer o.m.Unlock()
	o.verdicts[key] = append(o.verdicts[key], v)
	if v == "ran" {
		o.bodies[key] = append(o.bodies[key], b)
	}
	return v
}

func (o *orders) exchange(c context.Context, entry int, key string) (verdict, body string) {
	r, e := http.NewRequestWithContext(c, http.MethodPost, o.x.EntryURL(entry)+"/services/"+plainService+"/orders", strings.NewReader(`{"code":"COL-200"}`))
	if e != nil {
		panic(e)
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	r.Header.Set("Idempotency-Key", key)
	r.Header.Set("Bulrushtrail-Deadline-Ms", orderDeadlineMS)
	a, e := o.k.Do(r)
	if e != nil {
		return noVerdict, ""
	}
	defer a.Body.Close()
	b, e := io.ReadAll(a.Body)
	if e != nil {
		return noVerdict, ""
	}
	v := a.Header.Get("Bulrushtrail-Verdict")
	if v == "ran" && a.StatusCode != http.StatusOK {
		// The answer to the reorder that ran can't be read back.
		return "ran-unread", string(b)
	}
	return v, string(b)
}

// spread starts sending each key through every entry at the same moment.
func (o *orders) spread(c context.Context, prefix string, n int) []string {
	var l []string
	for i := range n {
		k := fmt.Sprintf("%s-%d", prefix, i)
		l = append(l, k)
		for u := range o.x.Names("entry-") {
			o.w.Go(func() { o.send(c, u+1, k) })
		}
	}
	return l
}

// resend sends each key again through one of the entries, as a caller does
// that has lost its answer or was refused, and waits for the answers.
func (o *orders) resend(c context.Context, keys []string, entries ...int) {
	var w sync.WaitGroup
	for i, k := range keys {
		w.Go(func() { o.send(c, entries[i%len(entries)], k) })
	}
	w.Wait()
}

// runs returns the number of runs by key, over all plain services.
func (o *orders) runs(t *testing.T) map[string]int {
	t.Helper()
	n := map[string]int{}
	for _, b := range o.x.Names(plainService + "-") {
		a, e := http.Get(o.x.BackendURL(b) + "/control/runs")
		if e != nil {
			t.Fatal(e)
		}
		var r struct {
			ByKey map[string]int `json:"by-key"`
		}
		e = json.NewDecoder(a.Body).Decode(&r)
		_ = a.Body.Close()
		if e != nil {
			t.Fatal(e)
		}
		for k, i := range r.ByKey {
			n[k] += i
		}
	}
	return n
}

// check compares what callers were told with what ran. All processes of the
// system must have ended, so that nothing runs later.
func (o *orders) check(t *testing.T) {
	t.Helper()
	r := o.runs(t)
	n := map[string]int{}
	for k, l := range o.verdicts {
		z := true
		for _, v := range l {
			n[v]++
			z = z && v == "not-run"
			if v[:min(len(v), 3)] == "ran" && r[k] != 1 {
				t.Errorf("%s ran %d times, its caller was told %v", k, r[k], l)
			}
		}
		if r[k] > 1 {
			t.Errorf("%s ran %d times; verdicts %q", k, r[k], l)
		}
		if z && r[k] > 0 {
			t.Errorf("%s ran, every attempt was told not-run", k)
		}
		for _, b := range o.bodies[k] {
			if b != o.bodies[k][0] {
				t.Errorf("%s has two answers: %s, %s", k, o.bodies[k][0], b)
			}
		}
	}
	t.Logf("%d keys, %d of them ran; answers by verdict: %v", len(o.verdicts), len(r), n)
}
