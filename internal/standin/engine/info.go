package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// errorForm is an error response of an OpenAI-compatible API.
type errorForm struct {
	Error errorBodyForm `json:"error"`
}

type errorBodyForm struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

type modelsForm struct {
	Object string      `json:"object"`
	Data   []modelForm `json:"data"`
}

type modelForm struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// eventsForm is the response to GET /cache-events.
type eventsForm struct {
	Events []eventForm `json:"events"`
}

type eventForm struct {
	Seq  int64  `json:"seq"`
	Kind string `json:"kind"`
	// Hashes as returned by Blocks, 16 hexadecimal digits each.
	Blocks []string `json:"blocks"`
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	b, e := json.Marshal(value)
	if e != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, errorForm{errorBodyForm{message, "invalid_request_error", code}})
}

func (s *Engine) models(w http.ResponseWriter, _ *http.Request) {
	o := modelsForm{Object: "list"}
	s.runTask(func(t *scheduler, _ time.Time) {
		for _, m := range append([]string{t.orders.model}, t.orders.adapters...) {
			o.Data = append(o.Data, modelForm{ID: m, Object: "model", OwnedBy: "stand-in"})
		}
	})
	writeJSON(w, http.StatusOK, o)
}

func (s *Engine) health(w http.ResponseWriter, _ *http.Request) {
	d := false
	s.runTask(func(t *scheduler, _ time.Time) { d = t.faults.drain })
	if d {
		writeDraining(w)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// cacheEvents returns the events after a sequence number that are older than
// the event lag, except those dropped by the event gap.
func (s *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	a, e := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if e != nil && r.URL.Query().Has("after") {
		writeError(w, http.StatusBadRequest, "invalid_request", "after is not a sequence number")
		return
	}
	o := eventsForm{Events: []eventForm{}}
	s.runTask(func(t *scheduler, now time.Time) {
		for _, v := range t.cache.events {
			l := s.config.eventGap > 0 && v.seq%s.config.eventGap == 0
			if v.seq <= a || l || v.at.After(now.Add(-s.config.eventLag)) {
				continue
			}
			f := eventForm{Seq: v.seq, Kind: v.kind}
			for _, b := range v.blocks {
				f.Blocks = append(f.Blocks, fmt.Sprintf("%016x", b))
			}
			o.Events = append(o.Events, f)
		}
	})
	writeJSON(w, http.StatusOK, o)
}
