package kube

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

const (
	// Watches that start before the retained changes of their kind get 410.
	historyEvents = 1024
	historyBytes  = 32 << 20
	// A watcher that is so many changes behind is closed.
	followerEvents = 256
)

type event struct {
	// ADDED, MODIFIED or DELETED.
	kind    string
	version int64
	o       document
}

// history is the retained changes of one kind, oldest first.
type history struct {
	events []event
	bytes  int
	// Version of the newest change that is no longer retained.
	trimmed int64
}

// follower is one waiting watch. Its channel is closed when it falls behind or
// when an outage begins.
type follower struct {
	kind   string
	events chan event
}

// delayed is a change of the host list that is not visible yet.
type delayed struct {
	due  time.Time
	name string
	// Nil removes the host.
	spec json.RawMessage
}

// table is the state of the platform. Its task is the only one to touch it.
type table struct {
	// Version of the newest change to any object.
	version   int64
	kinds     map[string]map[string]document
	histories map[string]*history
	followers map[*follower]struct{}
	faults    faults
	// Host changes in the order in which they become visible.
	hosts []delayed
}

// outcome is the answer to one call: a document or a refusal.
type outcome struct {
	status int
	reason string
	o      document
	// The change took effect, and its answer is to be lost.
	lost bool
}

func refusal(status int, reason string) outcome { return outcome{status: status, reason: reason} }

func (t *table) get(kind, name string) outcome {
	o, x := t.kinds[kind][name]
	if !x {
		return refusal(http.StatusNotFound, "NotFound")
	}
	return outcome{status: http.StatusOK, o: o}
}

// list returns the objects by name, so that answers don't depend on the order
// of a map.
func (t *table) list(kind string) ([]document, int64) {
	l := make([]document, 0, len(t.kinds[kind]))
	for _, o := range t.kinds[kind] {
		l = append(l, o)
	}
	slices.SortFunc(l, func(a, b document) int { return cmp.Compare(a.Metadata.Name, b.Metadata.Name) })
	return l, t.version
}

func (t *table) create(kind, name string, spec json.RawMessage) outcome {
	_, x := t.kinds[kind][name]
	if x {
		return refusal(http.StatusConflict, "AlreadyExists")
	}
	o := t.put(kind, name, spec)
	return outcome{status: http.StatusCreated, o: o, lost: t.faults.lose(kind)}
}

// update replaces an object whose version is still the given one.
func (t *table) update(kind, name string, version int64, spec json.RawMessage) outcome {
	r := t.get(kind, name)
	if r.status != http.StatusOK {
		return r
	}
	if r.o.Metadata.ResourceVersion != version {
		return refusal(http.StatusConflict, "Conflict")
	}
	o := t.put(kind, name, spec)
	return outcome{status: http.StatusOK, o: o, lost: t.faults.lose(kind)}
}

// remove deletes an object whose version is still the given one.
func (t *table) remove(kind, name string, version int64) outcome {
	r := t.get(kind, name)
	if r.status != http.StatusOK {
		return r
	}
	if r.o.Metadata.ResourceVersion != version {
		return refusal(http.StatusConflict, "Conflict")
	}
	o := t.drop(kind, name)
	return outcome{status: http.StatusOK, o: o, lost: t.faults.lose(kind)}
}

func (t *table) put(kind, name string, spec json.RawMessage) document {
	if t.kinds[kind] == nil {
		t.kinds[kind] = map[string]document{}
	}
	_, x := t.kinds[kind][name]
	k := "ADDED"
	if x {
		k = "MODIFIED"
	}
	t.version++
	o := document{Kind: kind, Metadata: metadata{Name: name, ResourceVersion: t.version}, Spec: spec}
	t.kinds[kind][name] = o
	t.publish(kind, event{kind: k, version: t.version, o: o})
	return o
}

func (t *table) drop(kind, name string) document {
	o := t.kinds[kind][name]
	delete(t.kinds[kind], name)
	t.version++
	o.Metadata.ResourceVersion = t.version
	t.publish(kind, event{kind: "DELETED", version: t.version, o: o})
	return o
}

func (t *table) publish(kind string, v event) {
	h := t.histories[kind]
	if h == nil {
		h = &history{}
		t.histories[kind] = h
	}
	h.events = append(h.events, v)
	h.bytes += len(v.o.Spec)
	for len(h.events) > historyEvents || h.bytes > historyBytes {
		h.trimmed = h.events[0].version
		h.bytes -= len(h.events[0].o.Spec)
		h.events = h.events[1:]
	}
	for f := range t.followers {
		if f.kind != kind {
			continue
		}
		select {
		case f.events <- v:
		default:
			t.unfollow(f)
		}
	}
}

// follow returns the retained changes after a version and a follower of the
// later ones, nil when the version is too old.
func (t *table) follow(kind string, after int64) ([]event, *follower) {
	var l []event
	h := t.histories[kind]
	if h != nil {
		if after < h.trimmed {
			return nil, nil
		}
		for _, v := range h.events {
			if v.version > after {
				l = append(l, v)
			}
		}
	}
	f := &follower{kind: kind, events: make(chan event, followerEvents)}
	t.followers[f] = struct{}{}
	return l, f
}

func (t *table) unfollow(f *follower) {
	_, x := t.followers[f]
	if !x {
		return
	}
	delete(t.followers, f)
	close(f.events)
}

// switchFaults replaces the faults. An outage ends the waiting watches.
func (t *table) switchFaults(f faults) {
	t.faults = f
	if f.Outage == outageNone {
		return
	}
	for w := range t.followers {
		t.unfollow(w)
	}
}

// changeHost notes a change of the host list, visible after the lag. A shorter
// lag does not let a later change overtake an earlier one.
func (t *table) changeHost(name string, spec json.RawMessage, now time.Time) {
	d := now.Add(time.Duration(t.faults.HostLagMS) * time.Millisecond)
	if n := len(t.hosts); n > 0 && t.hosts[n-1].due.After(d) {
		d = t.hosts[n-1].due
	}
	t.hosts = append(t.hosts, delayed{due: d, name: name, spec: spec})
}

// reveal makes the host changes visible that are due and returns the time of
// the next one, zero when there is none.
func (t *table) reveal(now time.Time) time.Time {
	for len(t.hosts) > 0 && !t.hosts[0].due.After(now) {
		d := t.hosts[0]
		t.hosts = t.hosts[1:]
		_, x := t.kinds[hostKind][d.name]
		switch {
		case d.spec != nil:
			t.put(hostKind, d.name, d.spec)
		case x:
			t.drop(hostKind, d.name)
		}
	}
	if len(t.hosts) == 0 {
		return time.Time{}
	}
	return t.hosts[0].due
}
