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
	registerRetryInterval = time.Second
	leaveTimeout          = 2 * time.Second
)

// register keeps this process in the list of members. A process that was
// frozen, and was removed as unreachable meanwhile, comes back by itself.
func (v *Views) register(ctx context.Context) {
	for ctx.Err() == nil && !v.leaving.Load() {
		e := v.writeMember(ctx, v.self)
		if e == nil {
			break
		}
		if !sleep(ctx, registerRetryInterval) {
			return
		}
	}
	for n := range v.Subscribe(ctx) {
		// The list may be older than the registration.
		if v.leaving.Load() || n.GetMembersVersion() == 0 || v.isListed(n) || !sleep(ctx, registerRetryInterval) || v.isListed(v.Latest()) {
			continue
		}
		e := v.writeMember(ctx, v.self)
		v.logger.WithField("failed", e != nil).Warn("view: member was not listed and registers again")
	}
}

func (v *Views) isListed(view *wire.View) bool {
	for _, m := range view.GetMembers() {
		if m.GetId() == v.self.GetId() {
			return m.GetIncarnation() >= v.self.GetIncarnation()
		}
	}
	return false
}

// writeMember creates or replaces the member object. A lost answer needs no reading
// back: writing the same value again does no harm.
func (v *Views) writeMember(ctx context.Context, member *wire.Member) error {
	o, e := object.Encode(kindMembers, member.GetId(), 0, member)
	if e != nil {
		return e
	}
	_, e = v.store.Create(ctx, o)
	if !errors.Is(e, trail.ErrExists) {
		return e
	}
	p, e := v.store.Get(ctx, kindMembers, member.GetId())
	if e != nil {
		return e
	}
	q := &wire.Member{}
	e = p.Decode(q)
	if e == nil && q.GetIncarnation() > member.GetIncarnation() {
		return trail.NewError("member-replaced", trail.NotRun, "another process runs as member %s", member.GetId())
	}
	_, e = v.store.Update(ctx, object.New(kindMembers, member.GetId(), p.Version(), o.Value()))
	return e
}

// Leave marks this member as leaving, so that no new work is sent to it.
// Without the platform the peers learn it from refused work.
func (v *Views) Leave(ctx context.Context) {
	v.leaving.Store(true)
	m := proto.CloneOf(v.self)
	m.SetLeaving(true)
	c, f := context.WithTimeout(ctx, leaveTimeout)
	defer f()
	e := v.writeMember(c, m)
	v.logger.WithField("failed", e != nil).Info("view: member is leaving")
}

// Remove deletes this member at the end of a graceful shutdown.
func (v *Views) Remove(ctx context.Context) {
	c, f := context.WithTimeout(ctx, leaveTimeout)
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
