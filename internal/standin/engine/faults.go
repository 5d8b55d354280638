package engine

import (
	"encoding/json"
	"net/http"
	"time"
)

// Modes of a crash.
const (
	// Connections are reset, and the process exits.
	crashExit = "exit"
	// Connections are reset, and so are new ones until the restart; the
	// control paths stay available.
	crashRefuse = "refuse"
)

type faults struct {
	// A running prompt that contains this text crashes the engine; empty for
	// none.
	crashText    string
	crashMode    string
	restartAfter time.Duration
	drain        bool
	// Factor on the prefill and step times.
	slowdown float64
}

// faultsForm is the body of POST /control/faults. An absent field leaves its
// fault unchanged. Error responses to an invalid body contain the
// name of this type.
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
		writeError(w, http.StatusBadRequest, "invalid-faults", e.Error())
		return
	case f.CrashMode != nil && *f.CrashMode != crashExit && *f.CrashMode != crashRefuse:
		writeError(w, http.StatusBadRequest, "invalid-faults", "crash-mode is neither exit nor refuse")
		return
	case f.Slow != nil && *f.Slow <= 0:
		writeError(w, http.StatusBadRequest, "invalid-faults", "slow is not above 0")
		return
	}
	var o faultsForm
	s.runTask(func(t *scheduler, now time.Time) {
		t.faults.update(f)
		s.trigger(t, f, now)
		o = t.faults.current()
	})
	writeJSON(w, http.StatusOK, o)
}

// update changes the persistent faults.
func (s *faults) update(change faultsForm) {
	if change.CrashOnText != nil {
		s.crashText = *change.CrashOnText
	}
	if change.CrashMode != nil {
		s.crashMode = *change.CrashMode
	}
	if change.RestartAfterMS != nil {
		s.restartAfter = time.Duration(*change.RestartAfterMS) * time.Millisecond
	}
	if change.Drain != nil {
		s.drain = *change.Drain
	}
	if change.Slow != nil {
		s.slowdown = *change.Slow
	}
}

// current returns the persistent faults.
func (s *faults) current() faultsForm {
	m := s.restartAfter.Milliseconds()
	return faultsForm{CrashOnText: &s.crashText, CrashMode: &s.crashMode, RestartAfterMS: &m, Drain: &s.drain, Slow: &s.slowdown}
}

// trigger performs the one-time actions: silence, crash and restart.
func (s *Engine) trigger(sched *scheduler, change faultsForm, now time.Time) {
	if change.Silence {
		close(sched.silenced)
		sched.silenced = make(chan struct{})
	}
	if change.Crash {
		sched.crash(now)
	}
	if change.Restart {
		sched.restart(now)
	}
}

// resetConnection closes the connection of a request with a TCP reset.
func resetConnection(w http.ResponseWriter) {
	n, _, e := http.NewResponseController(w).Hijack()
	if e != nil {
		panic(http.ErrAbortHandler)
	}
	if t, y := n.(interface{ SetLinger(seconds int) error }); y {
		_ = t.SetLinger(0)
	}
	_ = n.Close()
}
