package kube

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"golang.org/x/time/rate"
)

const hostKind = "hosts"

// Platform is the stand-in's HTTP handler.
type Platform struct {
	// Steps that the task runs one after another on its table.
	steps chan func(*table)
	done  chan struct{}
	// Calls left in this second. A watch takes one when it begins.
	reads  *rate.Limiter
	writes *rate.Limiter
	l      log.Interface
	calls  *prometheus.CounterVec
	m      *http.ServeMux
}

// New returns an empty platform whose task ends with c. It serves so many
// reads and writes a second, with a burst of one second's calls, and shows
// changes of the host list after hostLag.
func New(c context.Context, readsPerSecond, writesPerSecond int, hostLag time.Duration, l log.Interface, r prometheus.Registerer) *Platform {
	p := &Platform{
		steps:  make(chan func(*table)),
		done:   make(chan struct{}),
		reads:  rate.NewLimiter(rate.Limit(readsPerSecond), readsPerSecond),
		writes: rate.NewLimiter(rate.Limit(writesPerSecond), writesPerSecond),
		l:      l,
		calls: promauto.With(r).NewCounterVec(prometheus.CounterOpts{
			Name: "platform_calls_total",
			Help: "Calls of the object API by kind, verb and HTTP status; status 0 is a closed connection.",
		}, []string{"kind", "verb", "status"}),
		m: http.NewServeMux(),
	}
	p.routes()
	go p.run(c, &table{
		kinds:     map[string]map[string]document{},
		histories: map[string]*history{},
		followers: map[*follower]struct{}{},
		faults:    faults{Outage: outageNone, HostLagMS: hostLag.Milliseconds()},
	})
	return p
}

// ServeHTTP serves the object API and the control endpoints.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.m.ServeHTTP(w, r) }

func (p *Platform) run(c context.Context, t *table) {
	defer close(p.done)
	for {
		n := t.reveal(time.Now())
		var a <-chan time.Time
		if !n.IsZero() {
			a = time.After(time.Until(n))
		}
		select {
		case <-c.Done():
			for f := range t.followers {
				t.unfollow(f)
			}
			return
		case f := <-p.steps:
			f(t)
		case <-a:
		}
	}
}

// do runs one step on the table and waits for it. It aborts the HTTP call when
// the platform has ended.
func (p *Platform) do(f func(*table)) {
	r := make(chan struct{})
	select {
	case p.steps <- func(t *table) { f(t); close(r) }:
		<-r
	case <-p.done:
		panic(http.ErrAbortHandler)
	}
}

func (p *Platform) changeHost(name string, spec json.RawMessage) {
	p.do(func(t *table) { t.changeHost(name, spec, time.Now()) })
	p.l.WithField("host", name).WithField("removed", spec == nil).Info("kube: host change noted")
}
