//go:build review

package main

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"
)

// lagged is the platform's store with old copies that are always as old as lag. Only
// the kinds of batch jobs have old copies; other calls with AllowStale are answered from
// the current objects.
type lagged struct {
	next http.Handler
	lag  time.Duration

	mu sync.Mutex
	// Acknowledged writes by kind, oldest first.
	writes map[string][]write
}

// write is one acknowledged change of an object.
type write struct {
	at   time.Time
	name string
	// The object as a response holds it; nil if it was deleted.
	object json.RawMessage
}

func (l *lagged) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	k, n, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("AllowStale") && strings.HasPrefix(k, "batch-"):
		l.serveOld(w, k, n)
	case r.Method == http.MethodGet:
		l.next.ServeHTTP(w, r)
	default:
		l.serveWrite(w, r, k, n)
	}
}

// serveWrite passes a write on and records it.
func (l *lagged) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	a := httptest.NewRecorder()
	l.next.ServeHTTP(a, r)
	if a.Code < http.StatusMultipleChoices {
		l.record(kind, name, r.Method, a.Body.Bytes())
	}
	maps.Copy(w.Header(), a.Header())
	w.WriteHeader(a.Code)
	_, _ = w.Write(a.Body.Bytes())
}

func (l *lagged) record(kind, name, method string, body []byte) {
	var d struct{ Metadata struct{ Name string } }
	_ = json.Unmarshal(body, &d)
	v := write{at: time.Now(), name: cmp.Or(name, d.Metadata.Name), object: slices.Clone(body)}
	if method == http.MethodDelete {
		v.object = nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writes[kind] = append(l.writes[kind], v)
}

// old returns the objects of a kind as they were before the lag.
func (l *lagged) old(kind string) map[string]json.RawMessage {
	t := time.Now().Add(-l.lag)
	m := map[string]json.RawMessage{}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range l.writes[kind] {
		switch {
		case v.at.After(t):
			return m
		case v.object == nil:
			delete(m, v.name)
		default:
			m[v.name] = v.object
		}
	}
	return m
}

func (l *lagged) serveOld(w http.ResponseWriter, kind, name string) {
	m := l.old(kind)
	w.Header().Set("Content-Type", "application/json")
	if name != "" {
		if m[name] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(m[name])
		return
	}
	i := []json.RawMessage{}
	for _, n := range slices.Sorted(maps.Keys(m)) {
		i = append(i, m[n])
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"Items": i, "HasMore": false, "StoreRevision": 1})
}
