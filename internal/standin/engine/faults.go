package engine

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// What a crash does.
const (
	// Connections are reset, and the process exits.
	crashExit = "exit"
	// Connections are reset, now and later; the control paths go on.
	crashRefuse = "refuse"
)

type faults struct {
	// Crash when a prompt that runs contains it; empty for none.
	text    string
	mode    string
	restart time.Duration
	drain   bool
	// Factor on all times.
	slow float64
}

// faultsForm is the body of POST /control/faults. A field that is absent
// leaves its fault as it is.
type faultsForm struct {
	Crash          bool     `json:"crash,omitempty"`
	CrashOnText    *string  `json:"crash-on-text,omitempty"`
	CrashMode      *string  `json:"crash-mode,omitempty"`
	RestartAfterMS *int64   `json:"restart-after-ms,omitempty"`
	Restart        bool     `json:"restart,omitempty"`
	Silence        bool     `json:"silence,omitempty"`
	Drain          *bool    `json:"drain,omitempty"`
	Slow           *float64 `json:"slow,omitempty"`
}

func (s *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	f := faultsForm{}
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	e := d.Decode(&f)
	switch {
	case e != nil:
		refuse(w, http.StatusBadRequest, "invalid-faults", e.Error())
		return
	case f.CrashMode != nil && *f.CrashMode != crashExit && *f.CrashMode != crashRefuse:
		refuse(w, http.StatusBadRequest, "invalid-faults", "crash-mode is neither exit nor refuse")
		return
	case f.Slow != nil && *f.Slow <= 0:
		refuse(w, http.StatusBadRequest, "invalid-faults", "slow is not above 0")
		return
	}
	var o faultsForm
	s.do(func(t *table, now time.Time) {
		t.faults.set(f)
		s.inject(t, f, now)
		o = t.faults.form()
	})
	answer(w, http.StatusOK, o)
}

// set changes the faults that last.
func (s *faults) set(f faultsForm) {
	if f.CrashOnText != nil {
		s.text = *f.CrashOnText
	}
	if f.CrashMode != nil {
		s.mode = *f.CrashMode
	}
	if f.RestartAfterMS != nil {
		s.restart = time.Duration(*f.RestartAfterMS) * time.Millisecond
	}
	if f.Drain != nil {
		s.drain = *f.Drain
	}
	if f.Slow != nil {
		s.slow = *f.Slow
	}
}

// form shows the faults that last.
func (s *faults) form() faultsForm {
	m := s.restart.Milliseconds()
	return faultsForm{CrashOnText: &s.text, CrashMode: &s.mode, RestartAfterMS: &m, Drain: &s.drain, Slow: &s.slow}
}

// inject makes the faults happen that are asked for at once.
func (s *Engine) inject(t *table, f faultsForm, now time.Time) {
	if f.Silence {
		close(t.mute)
		t.mute = make(chan struct{})
	}
	if f.Crash {
		t.crash(now)
	}
	if f.Restart {
		t.restart()
	}
}

// reset closes the connection of a request with a TCP reset.
func reset(w http.ResponseWriter) {
	n, _, e := http.NewResponseController(w).Hijack()
	if e != nil {
		panic(http.ErrAbortHandler)
	}
	if t, y := n.(*net.TCPConn); y {
		_ = t.SetLinger(0)
	}
	_ = n.Close()
}
