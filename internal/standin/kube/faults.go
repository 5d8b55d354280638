package kube

import (
	"encoding/json"
	"net/http"
)

const (
	outageNone = "none"
	// Every call is answered with 503.
	outageRefuse = "refuse"
	// Every call's connection is closed without an answer.
	outageClose = "close"
)

// faults is the body of POST /control/faults, which replaces all of them, and
// of the answer to GET.
type faults struct {
	// "none", "refuse" or "close".
	Outage string `json:"outage"`
	// Added before a call takes effect. The call takes effect even when its
	// client has left in the meantime.
	DelayMS int64 `json:"delay-ms"`
	// Writes that take effect without an answer.
	LostAnswers lostAnswers `json:"lost-answers"`
	// Time until a change of the host list is visible.
	HostLagMS int64 `json:"host-lag-ms"`
}

// lostAnswers names the writes that lose their answer: the next Writes ones,
// those of one kind, or the next ones of that kind. Both empty: none.
type lostAnswers struct {
	Writes int    `json:"writes"`
	Kind   string `json:"kind"`
	// Whether Writes bounds the number; set from the request.
	counted bool
}

// lose says whether the answer to a write that took effect is lost, and counts
// it.
func (f *faults) lose(kind string) bool {
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
	p.do(func(t *table) { f = t.faults })
	answer(w, http.StatusOK, f)
}

// postFaults replaces the faults. A host lag that is not named stays.
func (p *Platform) postFaults(w http.ResponseWriter, r *http.Request) {
	f := faults{Outage: outageNone, HostLagMS: -1}
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	e := d.Decode(&f)
	if e != nil {
		refuse(w, http.StatusBadRequest, "BadRequest", e.Error())
		return
	}
	if f.Outage != outageNone && f.Outage != outageRefuse && f.Outage != outageClose {
		refuse(w, http.StatusBadRequest, "BadRequest", `outage is none of "none", "refuse" and "close"`)
		return
	}
	f.LostAnswers.counted = f.LostAnswers.Writes > 0
	p.do(func(t *table) {
		if f.HostLagMS < 0 {
			f.HostLagMS = t.faults.HostLagMS
		}
		t.switchFaults(f)
	})
	p.l.WithField("outage", f.Outage).WithField("delay-ms", f.DelayMS).
		WithField("lost-writes", f.LostAnswers.Writes).WithField("lost-kind", f.LostAnswers.Kind).
		WithField("host-lag-ms", f.HostLagMS).Info("kube: faults switched")
	answer(w, http.StatusOK, f)
}

// putHost and deleteHost change the platform's own list of backend servers.
func (p *Platform) putHost(w http.ResponseWriter, r *http.Request) {
	var s json.RawMessage
	e := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValueBytes)).Decode(&s)
	if e != nil {
		refuse(w, http.StatusBadRequest, "BadRequest", e.Error())
		return
	}
	p.changeHost(r.PathValue("name"), s)
	w.WriteHeader(http.StatusAccepted)
}

func (p *Platform) deleteHost(w http.ResponseWriter, r *http.Request) {
	p.changeHost(r.PathValue("name"), nil)
	w.WriteHeader(http.StatusAccepted)
}
