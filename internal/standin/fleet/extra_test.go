package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"bulrushtrail.example/trail/internal/standin/fleet"
)

const (
	// Time for which backend servers keep one form of answers too many.
	extraPeriod = 150 * time.Millisecond
	// Lookups through each entry at the same time. They use kept connections, on which
	// answers too many come, while reorders run beside them.
	lookupsPerEntry = 3
	copiedItems     = 60
	// Keeps lookups that are refused at once from loading the machine.
	lookupPause = 10 * time.Millisecond
)

// extraForms are the forms of answers too many that backend servers write in turn. They
// leave most answers alone, because a scheduler uses a server less after two refusals or
// mismatched answers in a row.
var extraForms = []map[string]any{
	{"kinds": []string{"refusal"}, "place": "due", "every": 5, "ids": "named", "refuse-every": 8},
	{"kinds": []string{"refusal", "refusal", "success", "unnamed"}, "place": "due", "every": 7, "split": true, "ids": "named", "refuse-every": 8},
	{"kinds": []string{"success"}, "place": "joined", "every": 7, "ids": "named"},
	{"kinds": []string{"unnamed"}, "place": "joined", "every": 5, "ids": "named", "refuse-every": 8},
	{"kinds": []string{"cut"}, "place": "due", "every": 7, "ids": "named"},
	{"kinds": []string{"refusal", "success"}, "place": "after", "every": 3, "ids": "named", "refuse-every": 8},
	{"kinds": []string{"refusal", "unnamed", "success", "cut"}, "place": "due", "ids": "omitted", "refuse-every": 8},
}

// failureForm is one for answers that may be failures.
var failureForm = map[string]any{"kinds": []string{"failure", "refusal", "failure"}, "place": "due", "every": 5, "ids": "named", "fail-every": 5}

// extras makes the backend servers of a service write answers too many.
type extras struct {
	x       *fleet.Fleet
	servers []string
	stop    chan struct{}
	done    sync.WaitGroup
}

// startExtras lets backend servers take the forms in turn until end is called. One that
// is down takes the form after its restart.
func startExtras(c context.Context, x *fleet.Fleet, servers []string, forms ...map[string]any) *extras {
	s := &extras{x: x, servers: servers, stop: make(chan struct{})}
	s.done.Go(func() {
		for i := 0; ; i++ {
			for j, n := range s.servers {
				_ = x.Control(c, http.MethodPost, x.BackendURL(n)+"/control/extra", forms[(i+j)%len(forms)])
			}
			select {
			case <-s.stop:
				return
			case <-time.After(extraPeriod):
			}
		}
	})
	return s
}

// end waits until answers too many of the kinds were written, and ends them.
func (s *extras) end(t *testing.T, kinds ...string) {
	t.Helper()
	var w map[string]int
	until(t, func() bool {
		w = s.written(t)
		return !slices.ContainsFunc(kinds, func(k string) bool { return w[k] == 0 })
	})
	close(s.stop)
	s.done.Wait()
	for _, n := range s.servers {
		e := s.x.Control(t.Context(), http.MethodPost, s.x.BackendURL(n)+"/control/extra", map[string]any{})
		if e != nil {
			t.Fatal(e)
		}
	}
	t.Logf("answers too many by kind: %v", w)
}

// written returns the number of answers too many by kind since the starts of the servers.
func (s *extras) written(t *testing.T) map[string]int {
	t.Helper()
	w := map[string]int{}
	for _, n := range s.servers {
		a, e := http.Get(s.x.BackendURL(n) + "/control/extra")
		if e != nil {
			continue
		}
		var v struct {
			Written map[string]int `json:"written"`
		}
		e = json.NewDecoder(a.Body).Decode(&v)
		_ = a.Body.Close()
		if e != nil {
			t.Fatal(e)
		}
		for k, i := range v.Written {
			w[k] += i
		}
	}
	return w
}

// lookups are requests that may run again. Each has a path of its own, which its answer
// repeats.
type lookups struct {
	o    *orders
	stop chan struct{}
	done sync.WaitGroup

	m sync.Mutex
	// Keys of the lookups that were told not-run.
	notRun []string
	// Number of answers by status.
	answers map[int]int
	foreign []string
}

// startLookups sends lookups through all entries until end is called.
func startLookups(t *testing.T, o *orders) *lookups {
	t.Helper()
	s := &lookups{o: o, stop: make(chan struct{}), answers: map[int]int{}}
	for u := range o.x.Names("entry-") {
		for j := range lookupsPerEntry {
			s.done.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-s.stop:
						return
					case <-time.After(lookupPause):
						s.send(t.Context(), u+1, fmt.Sprintf("lookup-%d-%d-%d", u, j, i))
					}
				}
			})
		}
	}
	return s
}

func (s *lookups) send(c context.Context, entry int, key string) {
	p := "/orders/" + key
	r, e := http.NewRequestWithContext(c, http.MethodGet, s.o.x.EntryURL(entry)+"/services/"+plainService+p, nil)
	if e != nil {
		panic(e)
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	r.Header.Set("Idempotency-Key", key)
	r.Header.Set("Bulrushtrail-Deadline-Ms", orderDeadlineMS)
	a, e := s.o.k.Do(r)
	if e != nil {
		return
	}
	defer a.Body.Close()
	b, e := io.ReadAll(a.Body)
	var v struct {
		Path string `json:"path"`
	}
	f := e == nil && a.StatusCode == http.StatusOK && (json.Unmarshal(b, &v) != nil || v.Path != p)
	s.m.Lock()
	defer s.m.Unlock()
	s.answers[a.StatusCode]++
	if f {
		s.foreign = append(s.foreign, fmt.Sprintf("%s got %s", key, b))
	}
	if a.Header.Get("Bulrushtrail-Verdict") == "not-run" {
		s.notRun = append(s.notRun, key)
	}
}

// end stops the lookups.
func (s *lookups) end() {
	close(s.stop)
	s.done.Wait()
}

// check compares what the lookups were told with what ran, once all processes of the
// system have ended.
func (s *lookups) check(t *testing.T) {
	t.Helper()
	r := s.o.runs(t)
	for _, k := range s.notRun {
		if r[k] > 0 {
			t.Errorf("%s ran %d times and was told not-run", k, r[k])
		}
	}
	for _, f := range s.foreign {
		t.Errorf("answer of another request: %s", f)
	}
	t.Logf("lookups by status: %v; told not-run: %d", s.answers, len(s.notRun))
}

// underCopies is underFault with answers too many from the plain services, and lookups
// beside the reorders.
func underCopies(t *testing.T, fault, heal func(x *fleet.Fleet), entries ...int) {
	t.Helper()
	x := startSmallKeyed(t)
	o := newOrders(x)
	l := startLookups(t, o)
	var a *extras
	o.waves(t, func(x *fleet.Fleet) {
		a = startExtras(t.Context(), x, x.Names(plainService+"-"), append(extraForms, failureForm)...)
		fault(x)
	}, func(x *fleet.Fleet) {
		a.end(t, "refusal", "success")
		if heal != nil {
			heal(x)
		}
	}, entries...)
	l.end()
	stopMembers(t, x)
	o.check(t)
	l.check(t)
}

// P5 and P6, plain services write answers too many: a reorder runs again, or is told
// not-run and runs, if a copy of a refusal is taken for its answer; a lookup gets the
// answer of another one.
func TestReorderRunsAgainAfterCopiedRefusal(t *testing.T) {
	underCopies(t, func(*fleet.Fleet) {}, nil, 1, 2, 3)
}

// P1 and P4, engines write answers too many while the scheduler that owns the job is
// killed and another one stops: an item gets the output of another one, or two.
func TestItemGetsCopiedAnswer(t *testing.T) {
	itemsUnderCopies(t, func(s *small, id string) {
		s.killAndRestart(s.owner(id))
		e := s.Terminate("sched-2")
		if e != nil {
			s.t.Error(e)
		}
		s.restart("sched-2")
	})
}

func itemsUnderCopies(t *testing.T, fault func(s *small, id string)) {
	t.Helper()
	s := startSmall(t)
	k := &items{}
	for i := range copiedItems {
		k.add(fmt.Sprintf("store-%d", i), chatBody(fmt.Sprintf("Restock summary of store %d", i), 20+i, false))
	}
	a := startExtras(t.Context(), s.Fleet, s.engines(), extraForms...)
	b, e := s.submit(1, k)
	if e != nil {
		t.Fatal(e)
	}
	s.completes(1, b.ID, 1)
	fault(s, b.ID)
	a.end(t, "refusal")
	b = s.finished(2, b.ID)
	for i := 1; i <= 3; i++ {
		s.checkOutput(i, b, k)
	}
}
