package kube

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

const defaultWatchSeconds = 30

// watchEvent is one line of the response to a watch.
type watchEvent struct {
	Type   string   `json:"type"`
	Object document `json:"object"`
}

// watch streams the changes of a kind after a version until the timeout of the
// request.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) int {
	q := r.URL.Query()
	v, e := strconv.ParseInt(q.Get("resourceVersion"), 10, 64)
	if e != nil {
		return writeError(w, http.StatusBadRequest, "BadRequest", "resourceVersion is not a number")
	}
	n := defaultWatchSeconds
	if s := q.Get("timeoutSeconds"); s != "" {
		n, e = strconv.Atoi(s)
		if e != nil {
			return writeError(w, http.StatusBadRequest, "BadRequest", "timeoutSeconds is not a number")
		}
	}
	var l []event
	var f *watcher
	p.do(func(t *objectStore) { l, f = t.addWatcher(r.PathValue("kind"), v) })
	if f == nil {
		return writeError(w, http.StatusGone, "Expired", "resourceVersion is too old")
	}
	defer p.do(func(t *objectStore) { t.removeWatcher(f) })
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	d := json.NewEncoder(w)
	for _, o := range l {
		_ = d.Encode(watchEvent{Type: o.kind, Object: o.object})
	}
	c := http.NewResponseController(w)
	a := time.After(time.Duration(n) * time.Second)
	for {
		e = c.Flush()
		if e != nil {
			return http.StatusOK
		}
		select {
		case o, x := <-f.events:
			if !x {
				return http.StatusOK
			}
			_ = d.Encode(watchEvent{Type: o.kind, Object: o.object})
		case <-a:
			return http.StatusOK
		case <-r.Context().Done():
			return http.StatusOK
		}
	}
}
