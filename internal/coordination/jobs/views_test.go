package jobs_test

import (
	"context"
	"sync"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// views is the view that one process has of the schedulers.
type views struct {
	mutex   sync.Mutex
	latest  *wire.View
	updates chan *wire.View
}

func newViews(members ...string) *views {
	s := &views{updates: make(chan *wire.View, 1)}
	s.set(members...)
	return s
}

func (s *views) set(members ...string) {
	v := &wire.View{}
	for _, d := range members {
		m := &wire.Member{}
		m.SetId(d)
		m.SetRole("sched")
		v.SetMembers(append(v.GetMembers(), m))
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.latest = v
	select {
	case <-s.updates:
	default:
	}
	s.updates <- v
}

func (s *views) Latest() *wire.View {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.latest
}

func (s *views) Subscribe(context.Context) <-chan *wire.View { return s.updates }
