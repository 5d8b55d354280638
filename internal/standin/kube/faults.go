package kube

import (
	"encoding/json"
	"net/http"
)

const (
	outageNone = "none"
	// Every call gets a 503 response.
	outageRefuse = "refuse"
	// The connection of every call is closed without a response.
	outageClose = "close"
)

// faults is the body of POST /control/faults, which replaces all faults, and of
// the response to GET.
type faults struct {
	// "none", "refuse" or "close".
	Outage string `json:"outage"`
	// Delay before a call takes effect. The call takes effect even if its client
	// disconnects during the delay.
	DelayMS int64 `json:"delay-ms"`
	// Writes that take effect but get no response.
	LostAnswers lostAnswers `json:"lost-answers"`
	// Time until a change of the host list becomes visible.
	HostLagMS int64 `json:"host-lag-ms"`
}

// lostAnswers selects the writes that get no response: the next Writes writes, all
// writes of a kind, or the next Writes writes of a kind. The zero value selects
// none.
type lostAnswers struct {
	Writes int    `json:"writes"`
	Kind   string `json:"kind"`
	// Whether the number of writes is limited. It is set when the request sets
	// Writes, which counts down to 0.
	counted bool
}

// loseAnswer reports whether a write that took effect gets no response, and
// decrements the number of such writes that remain.
func (f *faults) loseAnswer(kind string) bool {
	a := &f.LostAnswers
	if a.Kind != "" && a.Kind != kind {
		return false
	}
	if !a.counted {
		return a.Kind != ""
	}
	if a.Writes == 0 {
		return false
	}
	a.Writes--
	return true
}

func (p *Platform) getFaults(w http.ResponseWriter, _ *http.Request) {
	var f faults
	p.do(func(t *objectStore) { f = t.faults })
	writeJSON(w, http.StatusOK, f)
}

// postFaults replaces the faults. The host lag is unchanged if the request does
// not set it.
func (p *Platform) postFaults(w http.ResponseWriter, r *http.Request) {
	f := faults{Outage: outageNone, HostLagMS: -1}
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	e := d.Decode(&f)
	if e != nil {
		writeError(w, http.StatusBadRequest, "BadRequest", e.Error())
		return
	}
	if f.Outage != outageNone && f.Outage != outageRefuse && f.Outage != outageClose {
		writeError(w, http.StatusBadRequest, "BadRequest", `outage is none of "none", "refuse" and "close"`)
		return
	}
	f.LostAnswers.counted = f.LostAnswers.Writes > 0
	p.do(func(t *objectStore) {
		if f.HostLagMS < 0 {
			f.HostLagMS = t.faults.HostLagMS
		}
		t.setFaults(f)
	})
	p.logger.WithField("outage", f.Outage).WithField("delay-ms", f.DelayMS).
		WithField("lost-writes", f.LostAnswers.Writes).WithField("lost-kind", f.LostAnswers.Kind).
		WithField("host-lag-ms", f.HostLagMS).Info("kube: faults set")
	writeJSON(w, http.StatusOK, f)
}

// putHost and deleteHost queue a change of the platform's own list of backend
// servers.
func (p *Platform) putHost(w http.ResponseWriter, r *http.Request) {
	var s json.RawMessage
	e := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValueBytes)).Decode(&s)
	if e != nil {
		writeError(w, http.StatusBadRequest, "BadRequest", e.Error())
		return
	}
	p.queueHostChange(r.PathValue("name"), s)
	w.WriteHeader(http.StatusAccepted)
}

func (p *Platform) deleteHost(w http.ResponseWriter, r *http.Request) {
	p.queueHostChange(r.PathValue("name"), nil)
	w.WriteHeader(http.StatusAccepted)
}
