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
	// Share of the trace that one burst lasts, its rate against the mean, and
	// the number of bursts.
	burstShare = 0.02
	burstRate  = 4
	bursts     = 5
	// Second seed of the generator, fixed so that one number names a trace.
	stream = 0x62756c72
)

// Callers and jobs of Coladores.
const (
	stores      = 200
	buyers      = 12
	supervisors = 6
	shifts      = 3
	// Share of a shift within which its jobs come.
	shiftStart = 0.05
)

// Callers and jobs of Kowalchuk.
const (
	studios  = 24
	families = 400
	// Jobs of each studio.
	classes = 3
)

// generator draws the lines of one trace.
type generator struct {
	r      *rand.Rand
	length time.Duration
	// Questions and calls a second on average.
	rate float64
	// Starts of the bursts.
	bursts []time.Duration
	lines  []*line
}

// Generate writes a trace of a deployment to w: length long, with rate
// questions and calls a second on average, and batch jobs at their usual
// times, squeezed into the length. The same arguments give the same trace. The
// error tells of an unknown deployment or of w.
func Generate(w io.Writer, deployment string, seed uint64, length time.Duration, rate float64) error {
	g := &generator{r: rand.New(rand.NewPCG(seed, stream)), length: length, rate: rate}
	for range bursts {
		g.bursts = append(g.bursts, g.within(0, 1-burstShare))
	}
	switch deployment {
	case Coladores:
		g.coladores()
	case Kowalchuk:
		g.kowalchuk()
	default:
		return errors.Newf("deployment %q is neither %s nor %s", deployment, Coladores, Kowalchuk)
	}
	slices.SortStableFunc(g.lines, func(a, b *line) int { return int(a.AtMS - b.AtMS) })
	n := json.NewEncoder(w)
	for _, l := range g.lines {
		e := n.Encode(l)
		if e != nil {
			return e
		}
	}
	return nil
}

// within draws a time between two shares of the length.
func (s *generator) within(from, to float64) time.Duration {
	return time.Duration((from + (to-from)*s.r.Float64()) * float64(s.length))
}

// between draws a whole number from low to high.
func (s *generator) between(low, high int) int { return low + s.r.IntN(high-low+1) }

func (s *generator) add(at time.Duration, l line) {
	if at < s.length {
		l.AtMS = at.Milliseconds()
		s.lines = append(s.lines, &l)
	}
}

// arrivals calls f at the times of a Poisson process whose rate rises in
// bursts. The rate outside them is lower, so that the mean is the rate asked
// for when bursts don't overlap.
func (s *generator) arrivals(f func(at time.Duration)) {
	if s.rate <= 0 {
		return
	}
	b := s.rate / (1 + bursts*burstShare*(burstRate-1))
	for t := time.Duration(0); ; {
		r := b
		if s.bursting(t) {
			r *= burstRate
		}
		t += time.Duration(s.r.ExpFloat64() / r * float64(time.Second))
		if t >= s.length {
			return
		}
		f(t)
	}
}

func (s *generator) bursting(t time.Duration) bool {
	d := time.Duration(burstShare * float64(s.length))
	return slices.ContainsFunc(s.bursts, func(b time.Duration) bool { return t >= b && t < b+d })
}

// caller draws one of a group's callers.
func (s *generator) caller(group string, n int) string {
	return fmt.Sprintf("%s-%03d", group, s.between(1, n))
}

// coladores is the day of the tea strainers' franchise: short questions of
// store managers, notes for buyers, reorders, and restock summaries that the
// supervisors submit at the start of each of three shifts.
func (s *generator) coladores() {
	for h := range shifts {
		for v := 1; v <= supervisors; v++ {
			a := float64(h) / shifts
			s.add(s.within(a, a+shiftStart/shifts), line{
				Caller: fmt.Sprintf("supervisor-%03d", v), Kind: kindBatch, Service: "asistente-lm", Items: s.between(20, 60), Window: "2h",
				Prefix: "restock-summary", PrefixTokens: 320, PromptTokens: s.between(80, 200), AnswerTokens: s.between(60, 140),
			})
		}
	}
	n := 0
	s.arrivals(func(at time.Duration) {
		n++
		switch p := s.r.Float64(); {
		case p < 0.05:
			s.add(at, line{
				Caller: s.caller("comprador", buyers), Kind: kindOnline, Service: "asistente-lm", Stream: true,
				Prefix: "catalogue-notes", PrefixTokens: 480, PromptTokens: s.between(80, 240), AnswerTokens: s.between(160, 320),
			})
		case p < 0.08:
			s.add(at, line{
				Caller: s.caller("tienda", stores), Kind: kindService, Service: "pedidos-app", Method: "POST", Path: "/reorders",
				Body: fmt.Sprintf(`{"item":"colador-%d","crates":2}`, s.between(1, 90)), NonIdempotent: true, IdempotencyKey: fmt.Sprintf("reorder-%d", n),
			})
		case p < 0.13:
			s.add(at, line{
				Caller: s.caller("tienda", stores), Kind: kindService, Service: "pedidos-app", Method: "GET",
				Path: fmt.Sprintf("/stock/colador-%d", s.between(1, 90)),
			})
		default:
			s.add(at, line{
				Caller: s.caller("tienda", stores), Kind: kindOnline, Service: "asistente-lm", Stream: true,
				Prefix: "stock-questions", PrefixTokens: 320, PromptTokens: s.between(12, 60), AnswerTokens: s.between(16, 64),
			})
		}
	})
}

// kowalchuk is the season before the recitals: teachers and parents ask about
// fitting, with answers of two sizes, and studios submit whole classes.
func (s *generator) kowalchuk() {
	for i := 1; i <= studios; i++ {
		for range classes {
			s.add(s.within(0, 0.8), line{
				Caller: fmt.Sprintf("studio-%03d", i), Kind: kindBatch, Service: "fit-assistant", Items: s.between(12, 30), Window: "15m",
				Prefix: "class-fitting", PrefixTokens: 400, PromptTokens: s.between(60, 160), AnswerTokens: s.between(80, 160),
			})
		}
	}
	s.arrivals(func(at time.Duration) {
		if s.r.Float64() < 0.1 {
			s.add(at, line{
				Caller: s.caller("family", families), Kind: kindService, Service: "order-desk", Method: "GET",
				Path: fmt.Sprintf("/orders/%d", s.between(1000, 9999)),
			})
			return
		}
		// The answer is short, or holds much of the fitter's notes.
		n := s.between(18, 36)
		if s.r.Float64() < 0.3 {
			n = s.between(140, 200)
		}
		g, k := "family", families
		if s.r.Float64() < 0.4 {
			g, k = "studio", studios
		}
		s.add(at, line{
			Caller: s.caller(g, k), Kind: kindOnline, Service: "fit-assistant", Stream: true,
			Prefix: strings.ToLower(g) + "-fitting", PrefixTokens: 400, PromptTokens: s.between(16, 80), AnswerTokens: n,
		})
	})
}
