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

// list is all objects of a kind at a version of the platform.
type list struct {
	kind    string
	version int64
	objects []object.Object
}

// merge returns a view in which the parts of n that are newer replace those of
// v, and whether there is one. Neither is changed.
func merge(v, n *wire.View) (*wire.View, bool) {
	// A shallow copy: snapshots share the parts that stay.
	w := wire.View_builder{
		Config: v.GetConfig(), Members: v.GetMembers(), Hosts: v.GetHosts(), Crashes: v.GetCrashes(),
		MembersVersion: proto.Int64(v.GetMembersVersion()), HostsVersion: proto.Int64(v.GetHostsVersion()), CrashesVersion: proto.Int64(v.GetCrashesVersion()),
	}.Build()
	o := false
	if newerConfig(n, v) {
		w.SetConfig(n.GetConfig())
		o = true
	}
	if n.GetMembersVersion() > v.GetMembersVersion() {
		w.SetMembers(n.GetMembers())
		w.SetMembersVersion(n.GetMembersVersion())
		o = true
	}
	if n.GetHostsVersion() > v.GetHostsVersion() {
		w.SetHosts(n.GetHosts())
		w.SetHostsVersion(n.GetHostsVersion())
		o = true
	}
	if n.GetCrashesVersion() > v.GetCrashesVersion() {
		w.SetCrashes(n.GetCrashes())
		w.SetCrashesVersion(n.GetCrashesVersion())
		o = true
	}
	return w, o
}

// newerConfig says whether the configuration of v is newer than that of w. A
// view without one does not know yet whether the platform has one; when it has
// none, the version is 0.
func newerConfig(v, w *wire.View) bool {
	return v.GetConfig().GetVersion() > w.GetConfig().GetVersion() || v.HasConfig() && !w.HasConfig()
}

// newer returns the parts of v that are newer than in sent.
func newer(v, sent *wire.View) *wire.View {
	w := &wire.View{}
	if newerConfig(v, sent) {
		w.SetConfig(v.GetConfig())
	}
	if v.GetMembersVersion() > sent.GetMembersVersion() {
		w.SetMembers(v.GetMembers())
		w.SetMembersVersion(v.GetMembersVersion())
	}
	if v.GetHostsVersion() > sent.GetHostsVersion() {
		w.SetHosts(v.GetHosts())
		w.SetHostsVersion(v.GetHostsVersion())
	}
	if v.GetCrashesVersion() > sent.GetCrashesVersion() {
		w.SetCrashes(v.GetCrashes())
		w.SetCrashesVersion(v.GetCrashesVersion())
	}
	return w
}

// decode turns a list into the part of a view. An object that can't be read is
// left out and returned as a fault, so that one bad object does not hide the
// others.
func decode(l list) (*wire.View, error) {
	v := &wire.View{}
	slices.SortFunc(l.objects, func(a, b object.Object) int { return cmp.Compare(a.Name(), b.Name()) })
	var e error
	switch l.kind {
	case kindConfigs:
		k := wire.Config_builder{Version: proto.Int64(0), Text: &wire.Text{}}.Build()
		for _, o := range l.objects {
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
		m, f := each(l.objects, func() *wire.Member { return &wire.Member{} })
		v.SetMembers(m)
		v.SetMembersVersion(l.version)
		e = f
	case kindHosts:
		m, f := each(l.objects, func() *wire.Host { return &wire.Host{} })
		v.SetHosts(m)
		v.SetHostsVersion(l.version)
		e = f
	case kindCrashes:
		m, f := each(l.objects, func() *wire.Crash { return &wire.Crash{} })
		v.SetCrashes(m)
		v.SetCrashesVersion(l.version)
		e = f
	}
	return v, e
}

func each[T proto.Message](objects []object.Object, create func() T) ([]T, error) {
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
