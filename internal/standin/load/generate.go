package load

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Names of the deployments for Generate.
const (
	Coladores = "coladores"
	Kowalchuk = "kowalchuk"
)

const (
	// Duration of a burst as a share of the trace, its rate as a multiple of
	// the base rate, and the number of bursts.
	burstShare = 0.02
	burstRate  = 4
	bursts     = 5
	// Second seed of the generator, fixed so that a single seed identifies a
	// trace.
	seedStream = 0x62756c72
)

// Callers and jobs of Coladores.
const (
	stores      = 200
	buyers      = 12
	supervisors = 6
	shifts      = 3
	// Share of a shift, from its start, in which its jobs are submitted.
	shiftStart = 0.05
)

// Callers and jobs of Kowalchuk.
const (
	studios  = 24
	families = 400
	// Jobs of each studio.
	classes = 3
)

// generator produces the random lines of one trace.
type generator struct {
	random *rand.Rand
	length time.Duration
	// Mean number of questions and calls per second.
	rate        float64
	burstStarts []time.Duration
	lines       []*traceLine
}

// Generate writes a trace of a deployment that lasts length. It has rate
// questions and calls per second on average, and batch jobs at their usual
// times, scaled to the length. Equal arguments give equal traces. Generate
// returns an error when the deployment is unknown or the writer fails.
func Generate(writer io.Writer, deployment string, seed uint64, length time.Duration, rate float64) error {
	g := &generator{random: rand.New(rand.NewPCG(seed, seedStream)), length: length, rate: rate}
	for range bursts {
		g.burstStarts = append(g.burstStarts, g.timeWithin(0, 1-burstShare))
	}
	switch deployment {
	case Coladores:
		g.addColadores()
	case Kowalchuk:
		g.addKowalchuk()
	default:
		return errors.Newf("deployment %q is neither %s nor %s", deployment, Coladores, Kowalchuk)
	}
	slices.SortStableFunc(g.lines, func(a, b *traceLine) int { return int(a.AtMS - b.AtMS) })
	n := json.NewEncoder(writer)
	for _, l := range g.lines {
		e := n.Encode(l)
		if e != nil {
			return e
		}
	}
	return nil
}

// timeWithin returns a random time between two shares of the length.
func (s *generator) timeWithin(from, to float64) time.Duration {
	return time.Duration((from + (to-from)*s.random.Float64()) * float64(s.length))
}

// intBetween returns a random integer from low to high, both inclusive.
func (s *generator) intBetween(low, high int) int { return low + s.random.IntN(high-low+1) }

func (s *generator) add(at time.Duration, line traceLine) {
	if at < s.length {
		line.AtMS = at.Milliseconds()
		s.lines = append(s.lines, &line)
	}
}

// arrivals calls arrive at the times of a Poisson process whose rate rises
// during bursts. The base rate is lowered to keep the mean at the requested
// rate when bursts don't overlap.
func (s *generator) arrivals(arrive func(at time.Duration)) {
	if s.rate <= 0 {
		return
	}
	b := s.rate / (1 + bursts*burstShare*(burstRate-1))
	for t := time.Duration(0); ; {
		r := b
		if s.inBurst(t) {
			r *= burstRate
		}
		t += time.Duration(s.random.ExpFloat64() / r * float64(time.Second))
		if t >= s.length {
			return
		}
		arrive(t)
	}
}

func (s *generator) inBurst(at time.Duration) bool {
	d := time.Duration(burstShare * float64(s.length))
	return slices.ContainsFunc(s.burstStarts, func(b time.Duration) bool { return at >= b && at < b+d })
}

// caller returns a random caller of a group.
func (s *generator) caller(group string, count int) string {
	return fmt.Sprintf("%s-%03d", group, s.intBetween(1, count))
}

// addColadores adds a day of a franchise that sells tea strainers: short
// questions of store managers, notes for buyers, stock queries and reorders, and
// restock summaries that supervisors submit as batch jobs at the start of each
// of three shifts.
func (s *generator) addColadores() {
	for h := range shifts {
		for v := 1; v <= supervisors; v++ {
			a := float64(h) / shifts
			s.add(s.timeWithin(a, a+shiftStart/shifts), traceLine{
				Caller: fmt.Sprintf("supervisor-%03d", v), Kind: kindBatch, Service: "asistente-lm", Items: s.intBetween(20, 60), Window: "2h",
				Prefix: "restock-summary", PrefixTokens: 320, PromptTokens: s.intBetween(80, 200), AnswerTokens: s.intBetween(60, 140),
			})
		}
	}
	n := 0
	s.arrivals(func(at time.Duration) {
		n++
		switch p := s.random.Float64(); {
		case p < 0.05:
			s.add(at, traceLine{
				Caller: s.caller("comprador", buyers), Kind: kindOnline, Service: "asistente-lm", Stream: true,
				Prefix: "catalogue-notes", PrefixTokens: 480, PromptTokens: s.intBetween(80, 240), AnswerTokens: s.intBetween(160, 320),
			})
		case p < 0.08:
			s.add(at, traceLine{
				Caller: s.caller("tienda", stores), Kind: kindService, Service: "pedidos-app", Method: "POST", Path: "/reorders",
				Body: fmt.Sprintf(`{"item":"colador-%d","crates":2}`, s.intBetween(1, 90)), NonIdempotent: true, IdempotencyKey: fmt.Sprintf("reorder-%d", n),
			})
		case p < 0.13:
			s.add(at, traceLine{
				Caller: s.caller("tienda", stores), Kind: kindService, Service: "pedidos-app", Method: "GET",
				Path: fmt.Sprintf("/stock/colador-%d", s.intBetween(1, 90)),
			})
		default:
			s.add(at, traceLine{
				Caller: s.caller("tienda", stores), Kind: kindOnline, Service: "asistente-lm", Stream: true,
				Prefix: "stock-questions", PrefixTokens: 320, PromptTokens: s.intBetween(12, 60), AnswerTokens: s.intBetween(16, 64),
			})
		}
	})
}

// addKowalchuk adds a season before dance recitals: teachers and parents ask
// about fitting, with short or long answers, and studios submit batch jobs for
// whole classes.
func (s *generator) addKowalchuk() {
	for i := 1; i <= studios; i++ {
		for range classes {
			s.add(s.timeWithin(0, 0.8), traceLine{
				Caller: fmt.Sprintf("studio-%03d", i), Kind: kindBatch, Service: "fit-assistant", Items: s.intBetween(12, 30), Window: "15m",
				Prefix: "class-fitting", PrefixTokens: 400, PromptTokens: s.intBetween(60, 160), AnswerTokens: s.intBetween(80, 160),
			})
		}
	}
	s.arrivals(func(at time.Duration) {
		if s.random.Float64() < 0.1 {
			s.add(at, traceLine{
				Caller: s.caller("family", families), Kind: kindService, Service: "order-desk", Method: "GET",
				Path: fmt.Sprintf("/orders/%d", s.intBetween(1000, 9999)),
			})
			return
		}
		// Most answers are short; 30% quote at length from the fitter's notes.
		n := s.intBetween(18, 36)
		if s.random.Float64() < 0.3 {
			n = s.intBetween(140, 200)
		}
		g, k := "family", families
		if s.random.Float64() < 0.4 {
			g, k = "studio", studios
		}
		s.add(at, traceLine{
			Caller: s.caller(g, k), Kind: kindOnline, Service: "fit-assistant", Stream: true,
			Prefix: strings.ToLower(g) + "-fitting", PrefixTokens: 400, PromptTokens: s.intBetween(16, 80), AnswerTokens: n,
		})
	})
}
