package view

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

// Kinds of the platform's objects that make up a view.
const (
	kindConfigs = "configs"
	kindMembers = "members"
	kindHosts   = "hosts"
	kindCrashes = "crashes"
	// Name of the one object of kind configs.
	currentName = "current"
)

var kinds = []string{kindConfigs, kindMembers, kindHosts, kindCrashes}

// objectList is all objects of a kind at a version of the platform.
type objectList struct {
	kind    string
	version int64
	objects []object.Object
}

// merge returns a view in which the parts of n that are newer replace those of
// v, and whether there is one. Neither is changed.
func merge(current, update *wire.View) (*wire.View, bool) {
	// A shallow copy: snapshots share the parts that stay.
	w := wire.View_builder{
		Config: current.GetConfig(), Members: current.GetMembers(), Hosts: current.GetHosts(), Crashes: current.GetCrashes(),
		MembersVersion: proto.Int64(current.GetMembersVersion()), HostsVersion: proto.Int64(current.GetHostsVersion()), CrashesVersion: proto.Int64(current.GetCrashesVersion()),
	}.Build()
	o := false
	if isNewerConfig(update, current) {
		w.SetConfig(update.GetConfig())
		o = true
	}
	if update.GetMembersVersion() > current.GetMembersVersion() {
		w.SetMembers(update.GetMembers())
		w.SetMembersVersion(update.GetMembersVersion())
		o = true
	}
	if update.GetHostsVersion() > current.GetHostsVersion() {
		w.SetHosts(update.GetHosts())
		w.SetHostsVersion(update.GetHostsVersion())
		o = true
	}
	if update.GetCrashesVersion() > current.GetCrashesVersion() {
		w.SetCrashes(update.GetCrashes())
		w.SetCrashesVersion(update.GetCrashesVersion())
		o = true
	}
	return w, o
}

// isNewerConfig says whether the configuration of v is newer than that of w. A
// view without one does not know yet whether the platform has one; when it has
// none, the version is 0.
func isNewerConfig(view, than *wire.View) bool {
	return view.GetConfig().GetVersion() > than.GetConfig().GetVersion() || view.HasConfig() && !than.HasConfig()
}

// changedSince returns the parts of v that are newer than in sent.
func changedSince(view, sent *wire.View) *wire.View {
	w := &wire.View{}
	if isNewerConfig(view, sent) {
		w.SetConfig(view.GetConfig())
	}
	if view.GetMembersVersion() > sent.GetMembersVersion() {
		w.SetMembers(view.GetMembers())
		w.SetMembersVersion(view.GetMembersVersion())
	}
	if view.GetHostsVersion() > sent.GetHostsVersion() {
		w.SetHosts(view.GetHosts())
		w.SetHostsVersion(view.GetHostsVersion())
	}
	if view.GetCrashesVersion() > sent.GetCrashesVersion() {
		w.SetCrashes(view.GetCrashes())
		w.SetCrashesVersion(view.GetCrashesVersion())
	}
	return w
}

// decodeList turns a list into the part of a view. An object that can't be read is
// left out and returned as a fault, so that one bad object does not hide the
// others.
func decodeList(objects objectList) (*wire.View, error) {
	v := &wire.View{}
	slices.SortFunc(objects.objects, func(a, b object.Object) int { return cmp.Compare(a.Name(), b.Name()) })
	var e error
	switch objects.kind {
	case kindConfigs:
		k := wire.Config_builder{Version: proto.Int64(0), Text: &wire.Text{}}.Build()
		for _, o := range objects.objects {
			if o.Name() != currentName {
				continue
			}
			t := &wire.Text{}
			e = o.Decode(t)
			k = wire.Config_builder{Version: proto.Int64(o.Version()), Text: t}.Build()
		}
		if e == nil {
			v.SetConfig(k)
		}
	case kindMembers:
		m, f := decodeAll(objects.objects, func() *wire.Member { return &wire.Member{} })
		v.SetMembers(m)
		v.SetMembersVersion(objects.version)
		e = f
	case kindHosts:
		m, f := decodeAll(objects.objects, func() *wire.Host { return &wire.Host{} })
		v.SetHosts(m)
		v.SetHostsVersion(objects.version)
		e = f
	case kindCrashes:
		m, f := decodeAll(objects.objects, func() *wire.Crash { return &wire.Crash{} })
		v.SetCrashes(m)
		v.SetCrashesVersion(objects.version)
		e = f
	}
	return v, e
}

func decodeAll[T proto.Message](objects []object.Object, create func() T) ([]T, error) {
	r := make([]T, 0, len(objects))
	var l trail.Errors
	for _, o := range objects {
		m := create()
		e := o.Decode(m)
		if e != nil {
			l = append(l, trail.WrapError(e, "object-unreadable", trail.NotRun, "object can't be read").WithPlace(o.Kind()+"/"+o.Name()))
			continue
		}
		r = append(r, m)
	}
	return r, l.OrNil()
}
