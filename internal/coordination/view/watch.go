package view

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/state/object"
)

// Pause between tries while the platform does not answer. With four kinds and
// two watchers in each of 16 data centres this is at most 64 calls a second.
const platformRetry = 2 * time.Second

// watchPlatform follows all kinds at the platform until c ends.
func (v *Views) watchPlatform(c context.Context) {
	for _, k := range kinds[1:] {
		go v.watchKind(c, k)
	}
	v.watchKind(c, kinds[0])
}

func (v *Views) watchKind(c context.Context, kind string) {
	for c.Err() == nil {
		l, n, e := v.store.List(c, kind)
		if e != nil {
			v.l.WithError(e).WithField("kind", kind).Debug("view: list failed")
			v.unanswered(c, kind)
			if !pause(c, platformRetry) {
				return
			}
			continue
		}
		m := make(map[string]object.Object, len(l))
		for _, o := range l {
			m[o.Name()] = o
		}
		v.publishList(c, kind, n, m)
		v.watchFrom(c, kind, n, m)
	}
}

// watchFrom applies changes to the objects until the platform wants a new
// list. A watch that ends, or fails because the platform is down, is taken up
// again where it stood.
func (v *Views) watchFrom(c context.Context, kind string, version int64, objects map[string]object.Object) {
	for c.Err() == nil {
		w, e := v.store.Watch(c, kind, version)
		if errors.Is(e, trail.ErrTooOld) {
			return
		}
		if e != nil {
			v.unanswered(c, kind)
			if !pause(c, platformRetry) {
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
			v.publishList(c, kind, version, objects)
		}
	}
}

// unanswered asks the peers once for all kinds when the platform fails.
func (v *Views) unanswered(c context.Context, kind string) {
	if kind == kindConfigs {
		go v.askPeers(c)
	}
}

func (v *Views) publishList(c context.Context, kind string, version int64, objects map[string]object.Object) {
	l := list{kind: kind, version: version, objects: make([]object.Object, 0, len(objects))}
	for _, o := range objects {
		l.objects = append(l.objects, o)
	}
	w, e := decode(l)
	if e != nil {
		v.l.WithError(e).Error("view: object skipped")
	}
	v.publish(c, w)
}
