package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// errorForm is an error as OpenAI-compatible engines give it.
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

// eventsForm answers GET /cache-events.
type eventsForm struct {
	Events []eventForm `json:"events"`
}

type eventForm struct {
	Seq  int64  `json:"seq"`
	Kind string `json:"kind"`
	// Hashes as Blocks returns them, 16 hexadecimal digits each.
	Blocks []string `json:"blocks"`
}

func answer(w http.ResponseWriter, status int, v any) {
	b, e := json.Marshal(v)
	if e != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func refuse(w http.ResponseWriter, status int, code, message string) {
	answer(w, status, errorForm{errorBodyForm{message, "invalid_request_error", code}})
}

func (s *Engine) models(w http.ResponseWriter, _ *http.Request) {
	o := modelsForm{Object: "list"}
	s.do(func(t *table, _ time.Time) {
		for _, m := range append([]string{t.orders.model}, t.orders.adapters...) {
			o.Data = append(o.Data, modelForm{ID: m, Object: "model", OwnedBy: "stand-in"})
		}
	})
	answer(w, http.StatusOK, o)
}

func (s *Engine) health(w http.ResponseWriter, _ *http.Request) {
	d := false
	s.do(func(t *table, _ time.Time) { d = t.faults.drain })
	if d {
		leaving(w)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// cacheEvents shows the events after a sequence number that are old enough,
// without the ones that the gap loses.
func (s *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	a, e := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if e != nil && r.URL.Query().Has("after") {
		refuse(w, http.StatusBadRequest, "invalid_request", "after is not a sequence number")
		return
	}
	o := eventsForm{Events: []eventForm{}}
	s.do(func(t *table, now time.Time) {
		for _, v := range t.cache.events {
			l := s.s.eventGap > 0 && v.seq%s.s.eventGap == 0
			if v.seq <= a || l || v.at.After(now.Add(-s.s.eventLag)) {
				continue
			}
			f := eventForm{Seq: v.seq, Kind: v.kind}
			for _, b := range v.blocks {
				f.Blocks = append(f.Blocks, fmt.Sprintf("%016x", b))
			}
			o.Events = append(o.Events, f)
		}
	})
	answer(w, http.StatusOK, o)
}
