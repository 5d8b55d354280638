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

// Platform is the HTTP handler of the platform stand-in.
type Platform struct {
	// Operations that the goroutine of the store runs one at a time.
	operations chan func(*objectStore)
	done       chan struct{}
	// Rate limits of calls. A watch counts as one read, when it starts.
	reads     *rate.Limiter
	writes    *rate.Limiter
	logger    log.Interface
	callCount *prometheus.CounterVec
	mux       *http.ServeMux
}

// New returns a platform without objects, which runs until ctx is done. Reads
// and writes are limited to the given rates, each with a burst of one second's
// calls. Changes of the host list become visible after hostLag.
func New(ctx context.Context, readsPerSecond, writesPerSecond int, hostLag time.Duration, logger log.Interface, registry prometheus.Registerer) *Platform {
	p := &Platform{
		operations: make(chan func(*objectStore)),
		done:       make(chan struct{}),
		reads:      rate.NewLimiter(rate.Limit(readsPerSecond), readsPerSecond),
		writes:     rate.NewLimiter(rate.Limit(writesPerSecond), writesPerSecond),
		logger:     logger,
		callCount: promauto.With(registry).NewCounterVec(prometheus.CounterOpts{
			Name: "platform_calls_total",
			Help: "Calls of the object API by kind, verb and HTTP status; status 0 is a closed connection.",
		}, []string{"kind", "verb", "status"}),
		mux: http.NewServeMux(),
	}
	p.routes()
	go p.run(ctx, &objectStore{
		kinds:     map[string]map[string]document{},
		histories: map[string]*history{},
		watchers:  map[*watcher]struct{}{},
		faults:    faults{Outage: outageNone, HostLagMS: hostLag.Milliseconds()},
	})
	return p
}

// ServeHTTP serves the object API and the control endpoints.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

func (p *Platform) run(ctx context.Context, store *objectStore) {
	defer close(p.done)
	for {
		n := store.applyDueHosts(time.Now())
		var a <-chan time.Time
		if !n.IsZero() {
			a = time.After(time.Until(n))
		}
		select {
		case <-ctx.Done():
			for f := range store.watchers {
				store.removeWatcher(f)
			}
			return
		case f := <-p.operations:
			f(store)
		case <-a:
		}
	}
}

// do runs an operation on the store and waits until it has completed. It aborts
// the HTTP call if the platform has stopped.
func (p *Platform) do(operation func(*objectStore)) {
	r := make(chan struct{})
	select {
	case p.operations <- func(t *objectStore) { operation(t); close(r) }:
		<-r
	case <-p.done:
		panic(http.ErrAbortHandler)
	}
}

func (p *Platform) queueHostChange(name string, spec json.RawMessage) {
	p.do(func(t *objectStore) { t.queueHostChange(name, spec, time.Now()) })
	p.logger.WithField("host", name).WithField("removed", spec == nil).Info("kube: host change queued")
}
