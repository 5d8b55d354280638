package view

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

const (
	registerRetry = time.Second
	leaveTimeout  = 2 * time.Second
)

// register keeps this process in the list of members. A process that was
// frozen, and was removed as unreachable meanwhile, comes back by itself.
func (v *Views) register(c context.Context) {
	for c.Err() == nil && !v.leaving.Load() {
		e := v.write(c, v.self)
		if e == nil {
			break
		}
		if !pause(c, registerRetry) {
			return
		}
	}
	for n := range v.Subscribe(c) {
		// The list may be older than the registration.
		if v.leaving.Load() || n.GetMembersVersion() == 0 || v.listed(n) || !pause(c, registerRetry) || v.listed(v.Latest()) {
			continue
		}
		e := v.write(c, v.self)
		v.l.WithField("failed", e != nil).Warn("view: member was not listed and registers again")
	}
}

func (v *Views) listed(n *wire.View) bool {
	for _, m := range n.GetMembers() {
		if m.GetId() == v.self.GetId() {
			return m.GetIncarnation() >= v.self.GetIncarnation()
		}
	}
	return false
}

// write creates or replaces the member object. A lost answer needs no reading
// back: writing the same value again does no harm.
func (v *Views) write(c context.Context, m *wire.Member) error {
	o, e := object.Encode(kindMembers, m.GetId(), 0, m)
	if e != nil {
		return e
	}
	_, e = v.store.Create(c, o)
	if !errors.Is(e, trail.ErrExists) {
		return e
	}
	p, e := v.store.Get(c, kindMembers, m.GetId())
	if e != nil {
		return e
	}
	q := &wire.Member{}
	e = p.Decode(q)
	if e == nil && q.GetIncarnation() > m.GetIncarnation() {
		return trail.NewError("member-replaced", trail.NotRun, "another process runs as member %s", m.GetId())
	}
	_, e = v.store.Update(c, object.New(kindMembers, m.GetId(), p.Version(), o.Value()))
	return e
}

// Leave marks this member as leaving, so that no new work is sent to it.
// Without the platform the peers learn it from refused work.
func (v *Views) Leave(c context.Context) {
	v.leaving.Store(true)
	m := proto.CloneOf(v.self)
	m.SetLeaving(true)
	c, f := context.WithTimeout(c, leaveTimeout)
	defer f()
	e := v.write(c, m)
	v.l.WithField("failed", e != nil).Info("view: member is leaving")
}

// Remove deletes this member at the end of a graceful shutdown.
func (v *Views) Remove(c context.Context) {
	c, f := context.WithTimeout(c, leaveTimeout)
	defer f()
	o, e := v.store.Get(c, kindMembers, v.self.GetId())
	if e != nil {
		return
	}
	m := &wire.Member{}
	e = o.Decode(m)
	if e != nil || m.GetIncarnation() != v.self.GetIncarnation() {
		return
	}
	_ = v.store.Delete(c, o)
}
