package place_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/decide"
	"bulrushtrail.example/trail/internal/coordination/place"
	"bulrushtrail.example/trail/internal/coordination/policy"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const slots = 2

// placerModel executes the decisions and checks the invariants after each one.
type placerModel struct {
	t      *rapid.T
	placer *place.Placer
	now    time.Time
	// By key; removed when the call ends.
	pending map[uint64]*modelCall
	lastKey uint64
	// Oldest first.
	inFlight []modelAttempt
	// Whether the backend server accepts new work, by name.
	accepting map[string]bool
}

type modelCall struct {
	request *wire.Call
	// Dispatches, without those whose connection was refused.
	dispatches int
	dataSent   bool
}

type modelAttempt struct {
	id, host string
	key      uint64
}

// The seed is fixed, so that each run draws the same events. The flag
// -rapid.seed sets another one.
func TestMain(m *testing.M) {
	for _, f := range [][2]string{
		{"rapid.seed", "1"},
		// The default of 100 sequences has missed faults that 1000 sequences
		// find.
		{"rapid.checks", "1000"},
		{"rapid.steps", "100"},
		{"rapid.nofailfile", "true"},
	} {
		e := flag.Set(f[0], f[1])
		if e != nil {
			panic(e)
		}
	}
	os.Exit(m.Run())
}

// Guards against faults that only some orders of events cause: a backend server
// that is filled beyond its limit or gets work while it leaves, a call with two
// attempts at a time or two ends, a non-idempotent call that is dispatched
// twice, and a call that is lost.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		y, e := policy.New(rapid.SampledFrom([]string{policy.Fair, policy.RoundRobin, policy.LeastOutstanding}).Draw(t, "policy"))
		if e != nil {
			t.Fatal(e)
		}
		m := &placerModel{
			t:         t,
			placer:    place.New(y, "p"),
			now:       time.UnixMilli(0),
			pending:   map[uint64]*modelCall{},
			accepting: map[string]bool{},
		}
		m.checkDecisions(m.placer.ServicesConfigured(m.now, wire.Text_builder{Services: []*wire.Service{wire.Service_builder{
			Name:   proto.String("lm"),
			Kind:   proto.String("model"),
			Limits: wire.Limits_builder{Slots: proto.Int32(slots)}.Build(),
		}.Build()}}.Build()))
		for _, h := range []string{"a", "b", "c"} {
			m.updateHost(h, false)
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive":  m.arrive,
			"answer":  m.attemptEvent,
			"give up": m.abandon,
			"leave": func(t *rapid.T) {
				m.updateHost(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "host"), rapid.Bool().Draw(t, "leaving"))
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				m.checkDecisions(m.placer.Tick(m.now))
			},
		})
		m.completeAll()
	})
}

func (m *placerModel) updateHost(name string, leaving bool) {
	m.accepting[name] = !leaving
	m.checkDecisions(m.placer.HostUpdated(m.now, wire.Host_builder{
		Name:    &name,
		Service: proto.String("lm"),
		Ready:   proto.Bool(true),
		Leaving: &leaving,
	}.Build()))
}

func (m *placerModel) arrive(t *rapid.T) {
	m.lastKey++
	r := wire.Call_builder{
		Service:       proto.String("lm"),
		Caller:        proto.String(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "caller")),
		Class:         rapid.SampledFrom([]wire.Class{wire.Class_CLASS_ONLINE, wire.Class_CLASS_BATCH}).Draw(t, "class").Enum(),
		NonIdempotent: proto.Bool(rapid.IntRange(0, 3).Draw(t, "kind") == 0),
		Stream:        proto.Bool(rapid.Bool().Draw(t, "stream")),
		Fingerprint:   proto.Uint64(rapid.Uint64Range(1, 40).Draw(t, "fingerprint")),
		CostTokens:    proto.Int64(rapid.Int64Range(1, 1000).Draw(t, "cost")),
		PrefixHashes:  []uint64{rapid.Uint64Range(1, 3).Draw(t, "prefix")},
	}.Build()
	if rapid.Bool().Draw(t, "bounded") {
		r.SetDeadlineUnixMs(m.now.UnixMilli() + rapid.Int64Range(0, 20000).Draw(t, "deadline"))
	}
	m.pending[m.lastKey] = &modelCall{request: r}
	m.checkDecisions(m.placer.CallArrived(m.now, m.lastKey, r))
}

// attemptEvent applies a random event to a random attempt in flight.
func (m *placerModel) attemptEvent(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "attempt")
	a := m.inFlight[i]
	o := rapid.SampledFrom([]string{"first", "completed", "completed", "completed", "refused", "failed", "crashed"}).Draw(t, "outcome")
	if o == "first" {
		m.pending[a.key].dataSent = true
		m.checkDecisions(m.placer.AnswerStarted(m.now, a.id))
		return
	}
	m.inFlight = slices.Delete(m.inFlight, i, i+1)
	switch o {
	case "completed":
		delete(m.pending, a.key)
		m.checkDecisions(m.placer.AttemptCompleted(m.now, a.id, 1))
	case "refused":
		m.pending[a.key].dispatches--
		m.checkDecisions(m.placer.ConnectionRefused(m.now, a.id))
	case "failed":
		m.checkDecisions(m.placer.AttemptFailed(m.now, a.id, rapid.SampledFrom([]trail.Verdict{trail.NotRun, trail.MayHaveRun}).Draw(t, "verdict"), ""))
	case "crashed":
		m.checkDecisions(m.placer.ServerCrashed(m.now, a.id))
	}
}

func (m *placerModel) abandon(t *rapid.T) {
	if m.lastKey == 0 {
		return
	}
	k := rapid.Uint64Range(1, m.lastKey).Draw(t, "call")
	delete(m.pending, k)
	m.checkDecisions(m.placer.CallAbandoned(m.now, k))
}

// completeAll completes all attempts until no call is left.
func (m *placerModel) completeAll() {
	for range 10 * (len(m.pending) + 1) {
		m.now = m.now.Add(31 * time.Second)
		m.checkDecisions(m.placer.Tick(m.now))
		for len(m.inFlight) > 0 {
			a := m.inFlight[0]
			m.inFlight = m.inFlight[1:]
			delete(m.pending, a.key)
			m.checkDecisions(m.placer.AttemptCompleted(m.now, a.id, 1))
		}
	}
	if m.placer.CallCount() > 0 || len(m.pending) > 0 {
		m.t.Fatalf("%d calls pending in the model, %d in the Placer", len(m.pending), m.placer.CallCount())
	}
}

func (m *placerModel) checkDecisions(decisions []decide.Decision) {
	for _, d := range decisions {
		k := m.pending[d.Key()]
		if k == nil && d.Reason() != "given-up" {
			m.t.Fatalf("decision on a call that has ended: %s", d)
		}
		switch d.Kind() {
		case decide.KindDispatch:
			m.checkDispatch(d, k)
		case decide.KindCancel:
			n := len(m.inFlight)
			m.inFlight = slices.DeleteFunc(m.inFlight, func(a modelAttempt) bool { return a.id == d.Attempt() })
			if len(m.inFlight) != n-1 {
				m.t.Fatalf("cancelled attempt is not in flight: %s", d)
			}
		case decide.KindReject:
			if d.Verdict() == trail.NotRun && k.dataSent {
				m.t.Fatalf("rejected as not run after data was sent: %s", d)
			}
			m.checkNotInFlight(d)
			delete(m.pending, d.Key())
		}
	}
	if m.placer.CallCount() != len(m.pending) {
		m.t.Fatalf("%d calls pending in the model, %d in the Placer", len(m.pending), m.placer.CallCount())
	}
}

func (m *placerModel) checkDispatch(dispatch decide.Decision, call *modelCall) {
	m.checkNotInFlight(dispatch)
	n := 1
	for _, a := range m.inFlight {
		if a.host == dispatch.Host() {
			n++
		}
	}
	call.dispatches++
	f := ""
	switch {
	case n > slots:
		f = "concurrency limit exceeded"
	case !m.accepting[dispatch.Host()]:
		f = "dispatched to a leaving backend server"
	case call.request.GetNonIdempotent() && call.dispatches > 1:
		f = "non-idempotent call dispatched again"
	case call.dataSent && !(call.request.GetStream() && call.request.GetClass() == wire.Class_CLASS_BATCH):
		f = "answer restarted after data was sent"
	}
	if f != "" {
		m.t.Fatal(fmt.Sprintf("%s: %s", f, dispatch))
	}
	m.inFlight = append(m.inFlight, modelAttempt{dispatch.Attempt(), dispatch.Host(), dispatch.Key()})
}

// checkNotInFlight checks that the decision's call has no attempt in flight.
func (m *placerModel) checkNotInFlight(decision decide.Decision) {
	for _, a := range m.inFlight {
		if a.key == decision.Key() {
			m.t.Fatalf("call already has an attempt in flight: %s", decision)
		}
	}
}
