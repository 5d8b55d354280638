package fleet_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
)

const (
	loadCallers = 6
	// Questions that the load completes while a count of runs must stay.
	stayQuestions = 100
)

// load is online questions that go on until it is stopped.
type load struct {
	done, failed atomic.Int64
	stop         chan struct{}
	w            sync.WaitGroup
	s            *small
}

func (s *small) startLoad() *load {
	l := &load{s: s, stop: make(chan struct{})}
	for i := range loadCallers {
		l.w.Go(func() { l.run(i) })
	}
	return l
}

func (l *load) run(caller int) {
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-l.s.t.Context().Done():
			return
		default:
		}
		b := chatBody(fmt.Sprintf("Reorder code %d of counter %d?", n, caller), 4, false)
		v, a := l.s.ask(caller%3+1, b, "")
		if v == http.StatusOK {
			l.done.Add(1)
			continue
		}
		l.failed.Add(1)
		l.s.t.Logf("question got status %d: %s", v, a)
	}
}

func (l *load) end() {
	close(l.stop)
	l.w.Wait()
}

// more waits until the load has completed more questions.
func (l *load) more(what string) {
	l.s.t.Helper()
	n := l.done.Load()
	l.s.until(what, func() bool { return l.done.Load() >= n+stayQuestions })
}

// P7: an engine that is leaving by the platform's list, which lags, or by its
// own drain mark gets no new work once the mark has reached the scheduler,
// although the online load goes on; no stream in progress and no question of
// the load is cut. Guards against a mark that is missed, taken back by older
// news, or that cancels what runs.
func TestLeavingEngine(t *testing.T) {
	s := startSmall(t)
	e := s.engines()
	t.Run("platform list", func(t *testing.T) {
		s.leaves(t, e[0], func(y bool) {
			f := s.SetHost(t.Context(), e[0], true, y)
			if f != nil {
				t.Fatal(f)
			}
		})
	})
	t.Run("drain mark", func(t *testing.T) {
		s.leaves(t, e[1], func(y bool) { s.engineFaults(e[1], map[string]any{"drain": y}) })
	})
}

// leaves checks that the engine gets no work after its mark is set, and gets
// work again after it is taken back.
func (s *small) leaves(t *testing.T, engine string, mark func(set bool)) {
	s = &small{Fleet: s.Fleet, t: t, folder: s.folder}
	w := s.startStreams(t.Name(), 16)
	n := len(w)
	s.until(engine+" runs a stream", func() bool {
		if s.running(engine) > 0 {
			return true
		}
		n++
		w = append(w, s.startStream(fmt.Sprintf("%s %d", t.Name(), n), n%3+1))
		return false
	})
	mark(true)
	l := s.startLoad()
	o := s.stays(l, engine)
	l.more("load goes on")
	if v := s.runs(engine).Total; v != o {
		t.Errorf("%s ran %d more requests after its mark took effect", engine, v-o)
	}
	l.end()
	if h := s.checkStreams("leaving", w); h != len(w) {
		t.Errorf("%d of %d streams in progress are whole", h, len(w))
	}
	if n := l.failed.Load(); n > 0 {
		t.Errorf("%d questions of the load failed", n)
	}
	mark(false)
	s.serves(engine)
}

// stays waits until the engine's count of runs stays while the load completes
// questions, and returns it.
func (s *small) stays(l *load, engine string) int {
	s.t.Helper()
	for {
		n := s.runs(engine).Total
		l.more("load goes on while " + engine + " is watched")
		if s.runs(engine).Total == n {
			return n
		}
	}
}

// P7: an engine that refuses connections gets no new work: the online load
// goes on without a failure once the refusals are known. Guards against calls
// that are sent to a lost engine again and again. Probe calls may reach it.
func TestRefusingEngine(t *testing.T) {
	s := startSmall(t)
	n := s.engines()[2]
	l := s.startLoad()
	l.more("load runs")
	s.engineFaults(n, map[string]any{"crash": true, "crash-mode": "refuse"})
	s.until("a window without a failure", func() bool {
		f := l.failed.Load()
		l.more("load goes on while " + n + " refuses")
		return l.failed.Load() == f
	})
	s.engineFaults(n, map[string]any{"restart": true})
	l.end()
	s.serves(n)
}
