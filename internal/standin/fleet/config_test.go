package fleet_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bulrushtrail.example/trail/internal/protocol/oapi"
	"bulrushtrail.example/trail/internal/standin/fleet"
)

// sampler reads the version of the configuration that each process of the
// system has in force.
type sampler struct {
	x     *fleet.Fleet
	names []string
	k     http.Client
	// Ends the samples.
	stop context.CancelFunc
	done chan struct{}

	m sync.Mutex
	// Newest version seen, by name. A process that starts anew begins at 0.
	newest map[string]int64
	// Starts anew by name. A sample that began before one is dropped.
	starts map[string]int
	// Samples that were older than one before.
	reverted []string
	samples  int
}

// sample begins to read the version of every process until finish.
func sample(t *testing.T, x *fleet.Fleet) *sampler {
	t.Helper()
	c, f := context.WithCancel(t.Context())
	s := &sampler{x: x, newest: map[string]int64{}, starts: map[string]int{}, stop: f, done: make(chan struct{})}
	// A frozen process accepts connections and answers nothing.
	s.k.Timeout = time.Second
	for _, r := range []string{"entry-", "sched-", "depot-"} {
		s.names = append(s.names, x.Names(r)...)
	}
	u := make([]string, len(s.names))
	for i, n := range s.names {
		u[i] = x.AdminURL(n)
	}
	go func() {
		defer close(s.done)
		var w sync.WaitGroup
		for i, n := range s.names {
			w.Go(func() {
				for c.Err() == nil {
					s.read(n, u[i])
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		w.Wait()
	}()
	return s
}

func (s *sampler) read(name, url string) {
	s.m.Lock()
	i := s.starts[name]
	s.m.Unlock()
	a, e := s.k.Get(url + "/metrics")
	if e != nil {
		return
	}
	defer a.Body.Close()
	var b bytes.Buffer
	_, e = b.ReadFrom(a.Body)
	_, v, k := strings.Cut(b.String(), "\nbulrushtrail_config_version ")
	if e != nil || !k {
		return
	}
	v, _, _ = strings.Cut(v, "\n")
	n, e := strconv.ParseFloat(v, 64)
	s.m.Lock()
	defer s.m.Unlock()
	if i != s.starts[name] {
		return
	}
	s.samples++
	if e != nil || int64(n) < s.newest[name] {
		s.reverted = append(s.reverted, fmt.Sprintf("%s: %s after %d", name, v, s.newest[name]))
	}
	s.newest[name] = int64(n)
}

// restarted lets the version of a process begin anew. The process must not
// run.
func (s *sampler) restarted(name string) {
	s.m.Lock()
	defer s.m.Unlock()
	s.newest[name] = 0
	s.starts[name]++
}

// everywhere waits until each process has the version or a newer one.
func (s *sampler) everywhere(t *testing.T, version int64, but ...string) {
	t.Helper()
	until(t, func() bool {
		s.m.Lock()
		defer s.m.Unlock()
		for _, n := range s.names {
			if s.newest[n] < version && !slices.Contains(but, n) {
				return false
			}
		}
		return true
	})
}

// finish ends the samples and reports versions that decreased.
func (s *sampler) finish(t *testing.T) {
	t.Helper()
	s.stop()
	<-s.done
	for _, r := range s.reverted {
		t.Errorf("version decreased: %s", r)
	}
	t.Logf("%d samples of %d processes, newest versions %v", s.samples, len(s.names), s.newest)
}

// operator calls the operators' API of one entry.
type operator struct{ key string }

func (o operator) CallerKey(context.Context, oapi.OperationName) (oapi.CallerKey, error) {
	return oapi.CallerKey{}, nil
}

func (o operator) OperatorKey(context.Context, oapi.OperationName) (oapi.OperatorKey, error) {
	return oapi.OperatorKey{APIKey: o.key}, nil
}

// put applies the services text with another queue length, from a version.
func put(t *testing.T, x *fleet.Fleet, entry int, from int64, length int) (oapi.PutConfigRes, error) {
	t.Helper()
	k, e := oapi.NewClient(x.EntryURL(entry), operator{x.OperatorKey()})
	if e != nil {
		t.Fatal(e)
	}
	b, e := os.ReadFile("testdata/services.json")
	if e != nil {
		t.Fatal(e)
	}
	b = bytes.ReplaceAll(b, []byte(`"queue-length": 200`), fmt.Appendf(nil, `"queue-length": %d`, length))
	return k.PutConfig(t.Context(), &oapi.Config{Version: from, Text: oapi.RawJSON(b)})
}

// accept applies a text through an entry and returns its version.
func accept(t *testing.T, x *fleet.Fleet, entry int, from int64, length int) int64 {
	t.Helper()
	r, e := put(t, x, entry, from, length)
	a, k := r.(*oapi.Config)
	if e != nil || !k {
		t.Fatalf("text was not accepted: %v %+v", e, r)
	}
	return a.Version
}

// current returns the version that the platform holds.
func current(t *testing.T, x *fleet.Fleet) int64 {
	t.Helper()
	a, e := http.Get(x.PlatformURL() + "/apis/bulrushtrail.example/v1/configs/current")
	if e != nil {
		t.Fatal(e)
	}
	defer a.Body.Close()
	var d struct {
		Metadata struct {
			ResourceVersion int64 `json:"resourceVersion,string"`
		} `json:"metadata"`
	}
	e = json.NewDecoder(a.Body).Decode(&d)
	if e != nil {
		t.Fatal(e)
	}
	return d.Metadata.ResourceVersion
}

// P9, operators race through two entries with the same base version: exactly
// one text is accepted and comes into force at every process; the other
// operator gets a conflict that shows both versions.
func TestOperatorsRace(t *testing.T) {
	x := startSmallKeyed(t)
	s := sample(t, x)
	v := current(t, x)
	for i := range 10 {
		var w sync.WaitGroup
		var r [2]oapi.PutConfigRes
		var f [2]error
		for n := range r {
			w.Go(func() { r[n], f[n] = put(t, x, n+1, v, 100+2*i+n) })
		}
		w.Wait()
		a, k := r[0].(*oapi.Config)
		c, l := r[1].(*oapi.Conflict)
		if !k {
			a, k = r[1].(*oapi.Config)
			c, l = r[0].(*oapi.Conflict)
		}
		if errors.Join(f[:]...) != nil || !k || !l {
			t.Fatalf("race from version %d: %T and %T, %v", v, r[0], r[1], f)
		}
		if c.Yours.Version != v || c.Current.Version != a.Version || bytes.Equal(c.Yours.Text, c.Current.Text) || !bytes.Equal(c.Current.Text, a.Text) {
			t.Errorf("conflict shows versions %d and %d, accepted was %d after %d", c.Yours.Version, c.Current.Version, a.Version, v)
		}
		v = a.Version
		s.everywhere(t, v)
	}
	s.finish(t)
}

// P9, the platform is down after an apply and while another is tried: the
// accepted text stays in force everywhere, the other one is refused or comes
// into force as a whole, and a process that starts during the outage takes the
// newest version from its peers.
func TestConfigDuringOutage(t *testing.T) {
	for _, k := range []string{"refuse", "close"} {
		t.Run(k, func(t *testing.T) {
			x := startSmallKeyed(t)
			s := sample(t, x)
			v := accept(t, x, 1, current(t, x), 101)
			s.everywhere(t, v)
			platformFaults(t, x, map[string]any{"outage": k})
			r, e := put(t, x, 2, v, 102)
			if a, k := r.(*oapi.Config); e == nil && k {
				t.Errorf("version %d was accepted while the platform was down", a.Version)
			}
			for _, n := range []string{"entry-3", "sched-2", "depot-1"} {
				x.Kill(n)
				s.restarted(n)
				e = x.Restart(t.Context(), n)
				if e != nil {
					t.Fatal(e)
				}
				s.everywhere(t, v)
			}
			platformFaults(t, x, map[string]any{})
			v = accept(t, x, 3, current(t, x), 103)
			s.everywhere(t, v)
			s.finish(t)
		})
	}
}

// P9, the platform takes a text and loses its answer, then goes down: the
// operator is not told that it was refused, and the version in force never
// decreases when the platform is back.
func TestConfigAnswerLost(t *testing.T) {
	x := startSmallKeyed(t)
	s := sample(t, x)
	b := current(t, x)
	platformFaults(t, x, map[string]any{"lost-answers": map[string]any{"kind": "configs", "writes": 1}})
	v := accept(t, x, 1, b, 101)
	if v <= b || v != current(t, x) {
		t.Errorf("accepted as version %d after %d, the platform has %d", v, b, current(t, x))
	}
	platformFaults(t, x, map[string]any{"outage": "refuse"})
	platformFaults(t, x, map[string]any{})
	s.everywhere(t, v)
	s.finish(t)
}

// P9 and P5, the platform is so slow that it takes a text after its operator
// was answered: the operator is told that it may come into force, and it does
// at every process.
func TestConfigTakenLate(t *testing.T) {
	x := startSmallKeyed(t)
	s := sample(t, x)
	v := accept(t, x, 1, current(t, x), 101)
	s.everywhere(t, v)
	platformFaults(t, x, map[string]any{"delay-ms": 8000})
	r, e := put(t, x, 2, v, 102)
	var f *oapi.ErrorResponseStatusCodeWithHeaders
	if !errors.As(e, &f) || f.Response.Error.Verdict != oapi.ErrorBodyVerdictMayHaveRun {
		t.Errorf("operator was told %T, %v", r, e)
	}
	platformFaults(t, x, map[string]any{})
	until(t, func() bool { return current(t, x) > v })
	s.everywhere(t, current(t, x))
	s.finish(t)
}

// P9, a scheduler that watches the platform is frozen while texts are applied:
// the other processes get them without it, and it does not bring an old one
// back when it runs on.
func TestWatcherFrozen(t *testing.T) {
	x := startSmallKeyed(t)
	s := sample(t, x)
	v := accept(t, x, 1, current(t, x), 101)
	s.everywhere(t, v)
	x.Freeze("sched-1")
	for i := range 3 {
		v = accept(t, x, 2+i%2, v, 102+i)
		s.everywhere(t, v, "sched-1")
	}
	x.Thaw("sched-1")
	s.everywhere(t, v)
	v = accept(t, x, 1, v, 110)
	s.everywhere(t, v)
	s.finish(t)
}

// P9, a scheduler that watches the platform is frozen, misses a text, and runs
// on when the platform is down: it gets the text from its peers, and a process
// that starts then and asks it does not stay with the old one.
func TestWatcherThawedInOutage(t *testing.T) {
	x := startSmallKeyed(t)
	s := sample(t, x)
	v := accept(t, x, 1, current(t, x), 101)
	s.everywhere(t, v)
	// The outage ends the watch, which would hold the text for the frozen
	// process in its socket.
	platformFaults(t, x, map[string]any{"outage": "refuse"})
	x.Freeze("sched-1")
	platformFaults(t, x, map[string]any{})
	v = accept(t, x, 2, v, 102)
	s.everywhere(t, v, "sched-1")
	platformFaults(t, x, map[string]any{"outage": "refuse"})
	x.Thaw("sched-1")
	for _, n := range []string{"depot-1", "entry-1"} {
		x.Kill(n)
		s.restarted(n)
		e := x.Restart(t.Context(), n)
		if e != nil {
			t.Fatal(e)
		}
	}
	s.everywhere(t, v)
	platformFaults(t, x, map[string]any{})
	v = accept(t, x, 3, v, 103)
	s.everywhere(t, v)
	s.finish(t)
}
