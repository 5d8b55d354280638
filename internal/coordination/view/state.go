package view

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

// Kinds of platform objects that make up a view.
const (
	kindConfigs = "configs"
	kindMembers = "members"
	kindHosts   = "hosts"
	kindCrashes = "crashes"
	// Name of the only object of kind configs that is used.
	currentName = "current"
)

var kinds = []string{kindConfigs, kindMembers, kindHosts, kindCrashes}

// objectList contains all objects of a kind at one version of the platform.
type objectList struct {
	kind    string
	version int64
	objects []object.Object
}

// merge returns a copy of current in which the newer parts of update replace the
// old ones, and whether there are any. It modifies neither argument.
func merge(current, update *wire.View) (*wire.View, bool) {
	// A shallow copy, so that snapshots share the parts that did not change.
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

// isNewerConfig returns whether the configuration of view is newer than that of
// other. In a view without a configuration, it is not known yet whether the
// platform has one. If the platform has none, the view has one of version 0.
func isNewerConfig(view, other *wire.View) bool {
	return view.GetConfig().GetVersion() > other.GetConfig().GetVersion() || view.HasConfig() && !other.HasConfig()
}

// changedSince returns the parts of view that are newer than those of sent.
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

// decodeList converts a list to the part of a view that it makes up. An object
// that can't be decoded is left out and reported in the error, so that one bad
// object does not hide the others. The view is valid even if there is an error.
func decodeList(list objectList) (*wire.View, error) {
	v := &wire.View{}
	slices.SortFunc(list.objects, func(a, b object.Object) int { return cmp.Compare(a.Name(), b.Name()) })
	var e error
	switch list.kind {
	case kindConfigs:
		k := wire.Config_builder{Version: proto.Int64(0), Text: &wire.Text{}}.Build()
		for _, o := range list.objects {
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
		m, f := decodeAll(list.objects, func() *wire.Member { return &wire.Member{} })
		v.SetMembers(m)
		v.SetMembersVersion(list.version)
		e = f
	case kindHosts:
		m, f := decodeAll(list.objects, func() *wire.Host { return &wire.Host{} })
		v.SetHosts(m)
		v.SetHostsVersion(list.version)
		e = f
	case kindCrashes:
		m, f := decodeAll(list.objects, func() *wire.Crash { return &wire.Crash{} })
		v.SetCrashes(m)
		v.SetCrashesVersion(list.version)
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
			l = append(l, trail.WrapError(e, "object-unreadable", trail.NotRun, "object of the platform can't be decoded").WithPlace(o.Kind()+"/"+o.Name()))
			continue
		}
		r = append(r, m)
	}
	return r, l.OrNil()
}
