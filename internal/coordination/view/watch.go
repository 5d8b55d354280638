package view

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/state/object"
)

// Interval between retries while the platform does not answer. With four kinds
// and two watchers in each of 16 data centres this is at most 64 calls a second.
const platformRetryInterval = 2 * time.Second

// watchPlatform watches all kinds of objects on the platform until ctx is done.
func (v *Views) watchPlatform(ctx context.Context) {
	for _, k := range kinds[1:] {
		go v.watchKind(ctx, k)
	}
	v.watchKind(ctx, kinds[0])
}

func (v *Views) watchKind(ctx context.Context, kind string) {
	for ctx.Err() == nil {
		l, n, e := v.store.List(ctx, kind)
		if e != nil {
			v.logger.WithError(e).WithField("kind", kind).Debug("view: listing objects of the platform failed, retrying")
			v.handlePlatformFailure(ctx, kind)
			if !sleep(ctx, platformRetryInterval) {
				return
			}
			continue
		}
		m := make(map[string]object.Object, len(l))
		for _, o := range l {
			m[o.Name()] = o
		}
		v.publishList(ctx, kind, n, m)
		v.watchFrom(ctx, kind, n, m)
	}
}

// watchFrom applies changes to the objects until the platform no longer has the
// changes since version, so that a new list is needed. A watch that ends, or
// fails because the platform is down, is resumed from the last version.
func (v *Views) watchFrom(ctx context.Context, kind string, version int64, objects map[string]object.Object) {
	for ctx.Err() == nil {
		w, e := v.store.Watch(ctx, kind, version)
		if errors.Is(e, trail.ErrTooOld) {
			return
		}
		if e != nil {
			v.handlePlatformFailure(ctx, kind)
			if !sleep(ctx, platformRetryInterval) {
				return
			}
			continue
		}
		for h := range w {
			if errors.Is(h.Cause(), trail.ErrTooOld) {
				return
			}
			if h.Cause() != nil {
				continue
			}
			o := h.Object()
			version = max(version, o.Version())
			if h.Deleted() {
				delete(objects, o.Name())
			} else {
				objects[o.Name()] = o
			}
			v.publishList(ctx, kind, version, objects)
		}
	}
}

// handlePlatformFailure queries the peers when the platform fails. It does so
// for one kind only, since the peers send all kinds.
func (v *Views) handlePlatformFailure(ctx context.Context, kind string) {
	if kind == kindConfigs {
		go v.queryPeers(ctx)
	}
}

func (v *Views) publishList(ctx context.Context, kind string, version int64, objects map[string]object.Object) {
	l := objectList{kind: kind, version: version, objects: make([]object.Object, 0, len(objects))}
	for _, o := range objects {
		l.objects = append(l.objects, o)
	}
	w, e := decodeList(l)
	if e != nil {
		v.logger.WithError(e).Error("view: objects that can't be decoded skipped")
	}
	v.publish(ctx, w)
}
