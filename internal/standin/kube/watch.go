package kube

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

const defaultWatchSeconds = 30

// watchEvent is one line of a watch.
type watchEvent struct {
	Type   string   `json:"type"`
	Object document `json:"object"`
}

// watch streams the changes after a version until its time is over.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) int {
	q := r.URL.Query()
	v, e := strconv.ParseInt(q.Get("resourceVersion"), 10, 64)
	if e != nil {
		return refuse(w, http.StatusBadRequest, "BadRequest", "resourceVersion is not a number")
	}
	n := defaultWatchSeconds
	if s := q.Get("timeoutSeconds"); s != "" {
		n, e = strconv.Atoi(s)
		if e != nil {
			return refuse(w, http.StatusBadRequest, "BadRequest", "timeoutSeconds is not a number")
		}
	}
	var l []event
	var f *follower
	p.do(func(t *table) { l, f = t.follow(r.PathValue("kind"), v) })
	if f == nil {
		return refuse(w, http.StatusGone, "Expired", "resourceVersion is too old")
	}
	defer p.do(func(t *table) { t.unfollow(f) })
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	d := json.NewEncoder(w)
	for _, o := range l {
		_ = d.Encode(watchEvent{Type: o.kind, Object: o.o})
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
			_ = d.Encode(watchEvent{Type: o.kind, Object: o.o})
		case <-a:
			return http.StatusOK
		case <-r.Context().Done():
			return http.StatusOK
		}
	}
}
