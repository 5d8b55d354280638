package kube

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

const (
	// Limits of the changes that are retained for each kind. A watch that starts
	// at an older version gets a 410 response.
	maxHistoryEvents = 1024
	maxHistoryBytes  = 32 << 20
	// A watcher with more pending changes is closed.
	maxPendingEvents = 256
)

type event struct {
	// ADDED, MODIFIED or DELETED.
	kind    string
	version int64
	object  document
}

// history holds the retained changes of one kind, oldest first.
type history struct {
	events []event
	bytes  int
	// Version of the newest change that has been evicted.
	trimmed int64
}

// watcher is an open watch. Its channel is closed when it falls behind or when an
// outage starts.
type watcher struct {
	kind   string
	events chan event
}

// pendingHost is a change of the host list that is not yet visible.
type pendingHost struct {
	due  time.Time
	name string
	// Nil if the host is removed.
	spec json.RawMessage
}

// objectStore is the state of the platform. Only the goroutine of Platform.run
// accesses it.
type objectStore struct {
	// Version of the newest change to any object.
	version   int64
	kinds     map[string]map[string]document
	histories map[string]*history
	watchers  map[*watcher]struct{}
	faults    faults
	// Host changes in the order in which they become visible.
	pendingHosts []pendingHost
}

// outcome is the result of a call: a document, or an error with a reason.
type outcome struct {
	status int
	reason string
	object document
	// Whether the change took effect but the response is to be lost.
	answerLost bool
}

func errorOutcome(status int, reason string) outcome { return outcome{status: status, reason: reason} }

func (t *objectStore) get(kind, name string) outcome {
	o, x := t.kinds[kind][name]
	if !x {
		return errorOutcome(http.StatusNotFound, "NotFound")
	}
	return outcome{status: http.StatusOK, object: o}
}

// list returns the objects sorted by name, so that responses are deterministic,
// and the current version.
func (t *objectStore) list(kind string) ([]document, int64) {
	l := make([]document, 0, len(t.kinds[kind]))
	for _, o := range t.kinds[kind] {
		l = append(l, o)
	}
	slices.SortFunc(l, func(a, b document) int { return cmp.Compare(a.Metadata.Name, b.Metadata.Name) })
	return l, t.version
}

func (t *objectStore) create(kind, name string, spec json.RawMessage) outcome {
	_, x := t.kinds[kind][name]
	if x {
		return errorOutcome(http.StatusConflict, "AlreadyExists")
	}
	o := t.putObject(kind, name, spec)
	return outcome{status: http.StatusCreated, object: o, answerLost: t.faults.loseAnswer(kind)}
}

// update replaces an object if its current version is the given one.
func (t *objectStore) update(kind, name string, version int64, spec json.RawMessage) outcome {
	r := t.get(kind, name)
	if r.status != http.StatusOK {
		return r
	}
	if r.object.Metadata.ResourceVersion != version {
		return errorOutcome(http.StatusConflict, "Conflict")
	}
	o := t.putObject(kind, name, spec)
	return outcome{status: http.StatusOK, object: o, answerLost: t.faults.loseAnswer(kind)}
}

// remove deletes an object if its current version is the given one.
func (t *objectStore) remove(kind, name string, version int64) outcome {
	r := t.get(kind, name)
	if r.status != http.StatusOK {
		return r
	}
	if r.object.Metadata.ResourceVersion != version {
		return errorOutcome(http.StatusConflict, "Conflict")
	}
	o := t.deleteObject(kind, name)
	return outcome{status: http.StatusOK, object: o, answerLost: t.faults.loseAnswer(kind)}
}

func (t *objectStore) putObject(kind, name string, spec json.RawMessage) document {
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
	t.publish(kind, event{kind: k, version: t.version, object: o})
	return o
}

func (t *objectStore) deleteObject(kind, name string) document {
	o := t.kinds[kind][name]
	delete(t.kinds[kind], name)
	t.version++
	o.Metadata.ResourceVersion = t.version
	t.publish(kind, event{kind: "DELETED", version: t.version, object: o})
	return o
}

func (t *objectStore) publish(kind string, change event) {
	h := t.histories[kind]
	if h == nil {
		h = &history{}
		t.histories[kind] = h
	}
	h.events = append(h.events, change)
	h.bytes += len(change.object.Spec)
	for len(h.events) > maxHistoryEvents || h.bytes > maxHistoryBytes {
		h.trimmed = h.events[0].version
		h.bytes -= len(h.events[0].object.Spec)
		h.events = h.events[1:]
	}
	for f := range t.watchers {
		if f.kind != kind {
			continue
		}
		select {
		case f.events <- change:
		default:
			t.removeWatcher(f)
		}
	}
}

// addWatcher returns the retained changes after a version, and a watcher that
// receives later changes. The watcher is nil if changes after that version have
// been evicted.
func (t *objectStore) addWatcher(kind string, after int64) ([]event, *watcher) {
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
	f := &watcher{kind: kind, events: make(chan event, maxPendingEvents)}
	t.watchers[f] = struct{}{}
	return l, f
}

func (t *objectStore) removeWatcher(target *watcher) {
	_, x := t.watchers[target]
	if !x {
		return
	}
	delete(t.watchers, target)
	close(target.events)
}

// setFaults replaces the faults. An outage closes all watches.
func (t *objectStore) setFaults(newFaults faults) {
	t.faults = newFaults
	if newFaults.Outage == outageNone {
		return
	}
	for w := range t.watchers {
		t.removeWatcher(w)
	}
}

// queueHostChange queues a change of the host list, which becomes visible after
// the host lag. Changes become visible in order, even if the lag is shortened in
// between.
func (t *objectStore) queueHostChange(name string, spec json.RawMessage, now time.Time) {
	d := now.Add(time.Duration(t.faults.HostLagMS) * time.Millisecond)
	if n := len(t.pendingHosts); n > 0 && t.pendingHosts[n-1].due.After(d) {
		d = t.pendingHosts[n-1].due
	}
	t.pendingHosts = append(t.pendingHosts, pendingHost{due: d, name: name, spec: spec})
}

// applyDueHosts applies the host changes that are due, and returns the time of the
// next one, or the zero time if there is none.
func (t *objectStore) applyDueHosts(now time.Time) time.Time {
	for len(t.pendingHosts) > 0 && !t.pendingHosts[0].due.After(now) {
		d := t.pendingHosts[0]
		t.pendingHosts = t.pendingHosts[1:]
		_, x := t.kinds[hostKind][d.name]
		switch {
		case d.spec != nil:
			t.putObject(hostKind, d.name, d.spec)
		case x:
			t.deleteObject(hostKind, d.name)
		}
	}
	if len(t.pendingHosts) == 0 {
		return time.Time{}
	}
	return t.pendingHosts[0].due
}
