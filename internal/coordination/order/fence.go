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
	leaseDuration = 10 * time.Second
	// Difference in the rate of two clocks, and the way of an order that was
	// sent at the end of the lease.
	leaseMargin = 2 * time.Second
)

// lease is the right to give orders to one engine.
type lease struct {
	token int64
	// By the monotonic clock of this process.
	expires time.Time
}

// acquireLease takes or renews the right to give orders to a host. When another
// scheduler held it and the engine ignores tokens, it waits until that one
// must have stopped.
func (o *Reconciler) acquireLease(ctx context.Context, host string, tokensChecked bool, configVersion int64) (lease, error) {
	for {
		t := time.Now()
		f, n, e := o.writeFence(ctx, host, configVersion)
		if e != nil {
			return lease{}, e
		}
		if tokensChecked || f == nil || o.isHolder(f) {
			return lease{n, t.Add(leaseDuration)}, nil
		}
		o.logger.WithField("host", host).WithField("holder", f.GetHolder()).Info("order: waiting for the lease of the owner before")
		select {
		case <-time.After(leaseDuration + leaseMargin):
		case <-ctx.Done():
			return lease{}, ctx.Err()
		}
	}
}

func (o *Reconciler) isHolder(fence *wire.Fence) bool {
	return fence.GetHolder() == o.self.GetId() && fence.GetIncarnation() == o.self.GetIncarnation()
}

// writeFence makes this process the holder and returns the holder before, nil for
// none, with the new token. A write whose answer was lost is done again: each
// write gives a higher token. An older configuration than the last holder's is
// refused.
func (o *Reconciler) writeFence(ctx context.Context, host string, configVersion int64) (*wire.Fence, int64, error) {
	w, e := object.Encode(fenceKind, host, 0, wire.Fence_builder{
		Holder: proto.String(o.self.GetId()), Incarnation: proto.Uint64(o.self.GetIncarnation()),
		ConfigVersion: proto.Int64(configVersion),
	}.Build())
	if e != nil {
		return nil, 0, e
	}
	p, e := o.store.Get(ctx, fenceKind, host)
	if errors.Is(e, trail.ErrNotFound) {
		n, e := o.store.Create(ctx, w)
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
	if f.GetConfigVersion() > configVersion {
		// The engine follows a configuration that this process has not heard
		// of; an order would take it back.
		return nil, 0, trail.NewError("config-outdated", trail.NotRun, "orders to the host follow configuration %d, this process knows %d", f.GetConfigVersion(), configVersion)
	}
	n, e := o.store.Update(ctx, object.New(fenceKind, host, p.Version(), w.Value()))
	return f, n.Version(), e
}
