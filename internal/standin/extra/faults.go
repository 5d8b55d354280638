package extra

import (
	"encoding/json"
	"net/http"
	"slices"
)

// Kinds of answers too many: what they are copies of.
const (
	kindRefusal = "refusal"
	kindFailure = "failure"
	kindSuccess = "success"
	// The first half of a success, such as an event stream cut in its middle.
	kindCut = "cut"
	// A refusal without the id of its request.
	kindUnnamed = "unnamed"
)

// Places of answers too many.
const (
	// Before the server begins to work on the next request.
	placeDue = "due"
	// In one segment with the first bytes of the next answer.
	placeJoined = "joined"
	// Right after an answer, while the connection is idle.
	placeAfter = "after"
)

// Treatments of the request ids in answers.
const (
	idsKept    = ""
	idsNamed   = "named"
	idsOmitted = "omitted"
)

// faultsForm is the body of POST /control/extra, which replaces all faults. Error
// responses to an invalid body quote the name of this type, so it is fixed.
type faultsForm struct {
	// Kinds of the answers that are written one after the other. Those of which the
	// connection has carried none are left out.
	Kinds []string `json:"kinds"`
	Place string   `json:"place"`
	// Every n-th request of a connection gets them; 0 stands for 1.
	Every int `json:"every"`
	// Writes answers too many byte by byte.
	Split bool   `json:"split"`
	IDs   string `json:"ids"`
	// Every n-th request is refused with 503 and does not run, or runs and fails with
	// 500; 0 for none.
	RefuseEvery int `json:"refuse-every"`
	FailEvery   int `json:"fail-every"`
}

func (s *faultsForm) valid() bool {
	k := []string{kindRefusal, kindFailure, kindSuccess, kindCut, kindUnnamed}
	for _, x := range s.Kinds {
		if !slices.Contains(k, x) {
			return false
		}
	}
	return slices.Contains([]string{"", placeDue, placeJoined, placeAfter}, s.Place) &&
		slices.Contains([]string{idsKept, idsNamed, idsOmitted}, s.IDs) &&
		s.Every >= 0 && s.RefuseEvery >= 0 && s.FailEvery >= 0
}

// statusForm is the response to GET /control/extra.
type statusForm struct {
	Faults faultsForm `json:"faults"`
	// Number of answers too many by kind.
	Written map[string]int `json:"written"`
}

func (s *Answers) setFaults(w http.ResponseWriter, r *http.Request) {
	f := faultsForm{}
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	e := d.Decode(&f)
	if e != nil || !f.valid() {
		http.Error(w, "invalid faults", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	s.showFaults(w, r)
}

func (s *Answers) showFaults(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(statusForm{s.faults, s.written})
}
