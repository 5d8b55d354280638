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

// register adds this process to the member list, and again whenever it is
// missing from it. A process that was removed as unreachable while it was
// frozen thus rejoins without a restart.
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
		// The list may be older than the registration, so check again after a
		// delay.
		if v.leaving.Load() || n.GetMembersVersion() == 0 || v.isListed(n) || !sleep(ctx, registerRetryInterval) || v.isListed(v.Latest()) {
			continue
		}
		e := v.writeMember(ctx, v.self)
		v.logger.WithField("failed", e != nil).Warn("view: member missing from the member list, repeating its registration")
	}
}

// isListed returns whether the view contains this process, or a later one with
// the same member id.
func (v *Views) isListed(view *wire.View) bool {
	for _, m := range view.GetMembers() {
		if m.GetId() == v.self.GetId() {
			return m.GetIncarnation() >= v.self.GetIncarnation()
		}
	}
	return false
}

// writeMember creates or replaces the member object. It is idempotent, so after
// a lost response it can be repeated without checking whether the object was
// written. It fails if a later process has registered with the same member id.
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
		return trail.NewError("member-replaced", trail.NotRun, "a later process has registered as member %s", member.GetId())
	}
	_, e = v.store.Update(ctx, object.New(kindMembers, member.GetId(), p.Version(), o.Value()))
	return e
}

// Leave marks this member as leaving, so that no new work is sent to it. If the
// platform is down, peers notice when their work is refused.
func (v *Views) Leave(ctx context.Context) {
	v.leaving.Store(true)
	m := proto.CloneOf(v.self)
	m.SetLeaving(true)
	c, f := context.WithTimeout(ctx, leaveTimeout)
	defer f()
	e := v.writeMember(c, m)
	v.logger.WithField("failed", e != nil).Info("view: marking this member as leaving on the platform")
}

// Remove deletes the member object at the end of a graceful shutdown, unless a
// later process has replaced it.
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
