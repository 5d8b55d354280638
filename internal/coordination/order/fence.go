package order

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
	fenceKind = "fences"
	// An owner gives orders only so long after it asked for its token.
	lease = 10 * time.Second
	// Difference in the rate of two clocks, and the way of an order that was
	// sent at the end of the lease.
	leaseMargin = 2 * time.Second
)

// grant is the right to give orders to one engine.
type grant struct {
	token int64
	// By the monotonic clock of this process.
	until time.Time
}

// fence takes or renews the right to give orders to a host. When another
// scheduler held it and the engine ignores tokens, it waits until that one
// must have stopped.
func (o *Orders) fence(c context.Context, host string, checked bool, config int64) (grant, error) {
	for {
		t := time.Now()
		f, n, e := o.write(c, host, config)
		if e != nil {
			return grant{}, e
		}
		if checked || f == nil || o.holds(f) {
			return grant{n, t.Add(lease)}, nil
		}
		o.l.WithField("host", host).WithField("holder", f.GetHolder()).Info("order: waiting for the lease of the owner before")
		select {
		case <-time.After(lease + leaseMargin):
		case <-c.Done():
			return grant{}, c.Err()
		}
	}
}

func (o *Orders) holds(f *wire.Fence) bool {
	return f.GetHolder() == o.self.GetId() && f.GetIncarnation() == o.self.GetIncarnation()
}

// write makes this process the holder and returns the holder before, nil for
// none, with the new token. A write whose answer was lost is done again: each
// write gives a higher token. An older configuration than the last holder's is
// refused.
func (o *Orders) write(c context.Context, host string, config int64) (*wire.Fence, int64, error) {
	w, e := object.Encode(fenceKind, host, 0, wire.Fence_builder{
		Holder: proto.String(o.self.GetId()), Incarnation: proto.Uint64(o.self.GetIncarnation()),
		ConfigVersion: proto.Int64(config),
	}.Build())
	if e != nil {
		return nil, 0, e
	}
	p, e := o.store.Get(c, fenceKind, host)
	if errors.Is(e, trail.ErrNotFound) {
		n, e := o.store.Create(c, w)
		return nil, n.Version(), e
	}
	if e != nil {
		return nil, 0, e
	}
	f := &wire.Fence{}
	e = p.Decode(f)
	if e != nil {
		return nil, 0, e
	}
	if f.GetConfigVersion() > config {
		// The engine follows a configuration that this process has not heard
		// of; an order would take it back.
		return nil, 0, trail.NewError("config-outdated", trail.NotRun, "orders to the host follow configuration %d, this process knows %d", f.GetConfigVersion(), config)
	}
	n, e := o.store.Update(c, object.New(fenceKind, host, p.Version(), w.Value()))
	return f, n.Version(), e
}
