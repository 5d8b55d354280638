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
	// Period in which an owner may send orders, counted from its request for
	// the fencing token.
	leaseDuration = 10 * time.Second
	// Allows for clock rate differences between two processes and for the
	// transit time of an order sent just before the lease expires.
	leaseMargin = 2 * time.Second
)

// lease is the right to send orders to one engine.
type lease struct {
	token int64
	// On the monotonic clock of this process.
	expires time.Time
}

// acquireLease acquires or renews the lease for a host. If another scheduler
// was the holder and the engine ignores fencing tokens, it waits until that
// scheduler's lease must have expired and then writes the fence again.
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
		o.logger.WithField("host", host).WithField("holder", f.GetHolder()).Info("order: waiting for the previous owner's lease to expire")
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

// writeFence records this process as the holder. It returns the previous fence,
// nil if there was none, and the new token. Each write yields a higher token,
// so a write whose response was lost can be repeated. It fails if this process
// has an older configuration than the previous holder.
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
		// The engine follows a configuration that this process has not received
		// yet; an order would revert it.
		return nil, 0, trail.NewError("config-outdated", trail.NotRun, "host follows configuration version %d, this process has version %d", f.GetConfigVersion(), configVersion)
	}
	n, e := o.store.Update(ctx, object.New(fenceKind, host, p.Version(), w.Value()))
	return f, n.Version(), e
}
