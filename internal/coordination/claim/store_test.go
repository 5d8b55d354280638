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

// fault is a fault injected into one call of a store.
type fault int

const (
	none fault = iota
	// The call has no effect, and the client knows that.
	outage
	// The call has no effect because of the platform's rate limit.
	limited
	// A write is committed, but its response is lost. A read fails.
	lost
	// A write fails at once with an unknown result, and reaches the platform
	// 300 ms later.
	late
	// Like late, but 4 s later.
	veryLate
	// Like veryLate, but the write fails only after its timeout of 2 s.
	hung
	// The write has no effect, and the client does not know that.
	dropped
	// The call reaches the platform after 1.5 s.
	slow
	// The response arrives after 5 s, as in a process that was paused.
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
	// Latency of each call. It differs between processes, so that no two calls
	// arrive at the same time and their order does not depend on the Go
	// scheduler.
	latency time.Duration
	mu      sync.Mutex
	// Faults of the next calls. Later calls have none.
	faults []fault
	// Fault of all calls, replaces faults if set.
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

func (s *store) set(always fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.always = always
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

func (s *store) Create(_ context.Context, stored object.Object) (object.Object, error) {
	return s.write(stored)
}

func (s *store) Update(_ context.Context, stored object.Object) (object.Object, error) {
	return s.write(stored)
}

func (s *store) write(stored object.Object) (object.Object, error) {
	time.Sleep(s.latency)
	f := s.next()
	if f == hung {
		time.Sleep(2 * time.Second)
	}
	switch f {
	case limited:
		return stored, tooMany()
	case outage:
		return stored, failure(trail.NotRun)
	case lost:
		_, _ = s.platform.put(stored)
		return stored, failure(trail.MayHaveRun)
	case late:
		time.AfterFunc(300*time.Millisecond, func() { _, _ = s.platform.put(stored) })
		return stored, failure(trail.MayHaveRun)
	case veryLate, hung:
		time.AfterFunc(4*time.Second, func() { _, _ = s.platform.put(stored) })
		return stored, failure(trail.MayHaveRun)
	case dropped:
		return stored, failure(trail.MayHaveRun)
	case slow:
		time.Sleep(1500 * time.Millisecond)
	case paused:
		defer time.Sleep(5 * time.Second)
	}
	return s.platform.put(stored)
}

func (p *platform) put(stored object.Object) (object.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, x := p.objects[stored.Name()]
	switch {
	case stored.Version() == 0 && x:
		return stored, trail.WrapError(trail.ErrExists, "object-exists", trail.NotRun, "exists")
	case stored.Version() != b.Version():
		return stored, trail.WrapError(trail.ErrConflict, "object-changed", trail.NotRun, "changed")
	case len(stored.Value()) > 1<<20:
		return stored, failure(trail.NotRun)
	}
	p.version++
	p.writes++
	stored = object.New(stored.Kind(), stored.Name(), p.version, stored.Value())
	p.objects[stored.Name()] = stored
	return stored, nil
}

// entries returns the claim entries stored at the platform, by key.
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

// pauser is a log handler that can block the task that logs, to simulate a pause
// of the whole process.
type pauser struct{ pause atomic.Int64 }

func (p *pauser) HandleLog(*log.Entry) error {
	time.Sleep(time.Duration(p.pause.Swap(0)))
	return nil
}

// views is a trail.Views whose views the test sends.
type views chan *wire.View

func (v views) Subscribe(context.Context) <-chan *wire.View { return v }

func (views) Latest() *wire.View { return &wire.View{} }

// codeDiff returns the difference between the wanted code and that of an error,
// or the empty string.
func codeDiff(want string, err error) string {
	if err == nil {
		err = errors.New("no error")
	}
	return cmp.Diff(want, trail.CodeOf(err))
}
