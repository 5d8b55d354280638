package claim_test

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/google/go-cmp/cmp"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

// fault is what happens to one call of a store.
type fault int

const (
	none fault = iota
	// The call does not take effect, and the client knows it.
	outage
	// The call does not take effect, because there were too many.
	limited
	// A write takes effect, its answer is lost. A read fails.
	lost
	// A write is reported as lost at once and reaches the platform 300 ms later.
	late
	// The same, 4 s later.
	veryLate
	// The same after a write that ran into its bound of 2 s.
	hung
	// The write does not take effect, and the client does not know it.
	dropped
	// The platform takes the call after 1.5 s.
	slow
	// The answer arrives after 5 s, as in a process that was paused.
	paused
)

// platform holds objects for the stores of several processes.
type platform struct {
	mu      sync.Mutex
	version int64
	objects map[string]object.Object
	writes  int
	reads   int
}

// store is one process's access to the platform.
type store struct {
	trail.Store
	platform *platform
	// Of each call. Different for each process, so that no two calls arrive at
	// the same time and the order does not depend on the scheduler.
	latency time.Duration
	mu      sync.Mutex
	// Of the next calls; afterwards all is well.
	faults []fault
	// When set, instead of faults.
	always fault
}

func (s *store) next() fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.always != none || len(s.faults) == 0 {
		return s.always
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	return f
}

func (s *store) set(f fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.always = f
	s.faults = nil
}

func failure(verdict trail.Verdict) error {
	return trail.WrapError(trail.ErrUnavailable, "platform-unavailable", verdict, "fault")
}

func tooMany() error {
	return trail.WrapError(trail.ErrUnavailable, "platform-rate-limited", trail.NotRun, "fault").WithRetryAfter(time.Second)
}

func (s *store) Get(_ context.Context, kind, name string) (object.Object, error) {
	time.Sleep(s.latency)
	switch s.next() {
	case limited:
		return object.Object{}, tooMany()
	case outage, lost, late, veryLate, hung, dropped:
		return object.Object{}, failure(trail.NotRun)
	case slow:
		time.Sleep(1500 * time.Millisecond)
	case paused:
		defer time.Sleep(5 * time.Second)
	}
	s.platform.mu.Lock()
	defer s.platform.mu.Unlock()
	s.platform.reads++
	o, x := s.platform.objects[name]
	if !x {
		return o, trail.WrapError(trail.ErrNotFound, "object-missing", trail.NotRun, "%s %s", kind, name)
	}
	return o, nil
}

func (s *store) Create(_ context.Context, o object.Object) (object.Object, error) { return s.write(o) }

func (s *store) Update(_ context.Context, o object.Object) (object.Object, error) { return s.write(o) }

func (s *store) write(o object.Object) (object.Object, error) {
	time.Sleep(s.latency)
	f := s.next()
	if f == hung {
		time.Sleep(2 * time.Second)
	}
	switch f {
	case limited:
		return o, tooMany()
	case outage:
		return o, failure(trail.NotRun)
	case lost:
		_, _ = s.platform.put(o)
		return o, failure(trail.MayHaveRun)
	case late:
		time.AfterFunc(300*time.Millisecond, func() { _, _ = s.platform.put(o) })
		return o, failure(trail.MayHaveRun)
	case veryLate, hung:
		time.AfterFunc(4*time.Second, func() { _, _ = s.platform.put(o) })
		return o, failure(trail.MayHaveRun)
	case dropped:
		return o, failure(trail.MayHaveRun)
	case slow:
		time.Sleep(1500 * time.Millisecond)
	case paused:
		defer time.Sleep(5 * time.Second)
	}
	return s.platform.put(o)
}

func (p *platform) put(o object.Object) (object.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, x := p.objects[o.Name()]
	switch {
	case o.Version() == 0 && x:
		return o, trail.WrapError(trail.ErrExists, "object-exists", trail.NotRun, "exists")
	case o.Version() != b.Version():
		return o, trail.WrapError(trail.ErrConflict, "object-changed", trail.NotRun, "changed")
	case len(o.Value()) > 1<<20:
		return o, failure(trail.NotRun)
	}
	p.version++
	p.writes++
	o = object.New(o.Kind(), o.Name(), p.version, o.Value())
	p.objects[o.Name()] = o
	return o, nil
}

// entries returns what the platform holds, by key.
func (p *platform) entries() (map[string]*wire.ClaimEntry, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := map[string]*wire.ClaimEntry{}
	for _, o := range slices.Collect(maps.Values(p.objects)) {
		m := &wire.ClaimShard{}
		e := o.Decode(m)
		if e != nil {
			return nil, e
		}
		for _, n := range m.GetEntries() {
			r[n.GetKey()] = n
		}
	}
	return r, nil
}

// pauser is a log handler that can stop the task that logs, as a pause of the
// whole process does.
type pauser struct{ pause atomic.Int64 }

func (p *pauser) HandleLog(*log.Entry) error {
	time.Sleep(time.Duration(p.pause.Swap(0)))
	return nil
}

// views is a Views that the test feeds.
type views chan *wire.View

func (v views) Subscribe(context.Context) <-chan *wire.View { return v }

func (views) Latest() *wire.View { return &wire.View{} }

// codeDiff compares an error's code.
func codeDiff(want string, err error) string {
	if err == nil {
		err = errors.New("no error")
	}
	return cmp.Diff(want, trail.CodeOf(err))
}
