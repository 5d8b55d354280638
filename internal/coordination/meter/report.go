// Package meter reports what a front has learned of the backend servers, as metrics and
// log lines.
package meter

import (
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"bulrushtrail.example/trail/internal/coordination/fleet"
)

const (
	// Speeds, relative to the mean, below and above which a server is notable; it is again
	// when it has come back by the tolerance, so that noise at a bound is not logged.
	slowSpeed = 0.7
	fastSpeed = 1.4
	tolerance = 1.15
	// Least time between two lines about one server.
	lineInterval = 10 * time.Second
	// Most lines of one update. Of a change of many servers the metrics tell the rest.
	maxLines = 10
)

// Classes of servers in log lines.
const (
	classUsual = "usual"
	classSlow  = "slow"
	classFast  = "fast"
)

// Report holds the metrics of the estimates. It is not safe for concurrent use.
type Report struct {
	fleet        *fleet.Fleet
	logger       log.Interface
	speed, slots *prometheus.GaugeVec
	// By the server's id.
	servers map[string]*reported
}

// reported is what was last reported of a server.
type reported struct {
	service  string
	class    string
	slots    int
	loggedAt time.Time
}

// New returns a report without servers.
func New(fleet *fleet.Fleet, logger log.Interface, registry prometheus.Registerer) *Report {
	f := promauto.With(registry)
	return &Report{
		fleet: fleet, logger: logger, servers: map[string]*reported{},
		speed: f.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bulrushtrail_server_speed", Help: "Learned speed of a backend server relative to the mean of its service.",
		}, []string{"service", "server"}),
		slots: f.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bulrushtrail_server_served_slots", Help: "Learned number of concurrent requests that a backend server serves well.",
		}, []string{"service", "server"}),
	}
}

// Update sets the metrics to the current estimates, removes those of servers that are no
// longer listed, and logs notable changes. It does nothing unless the fleet learns.
func (r *Report) Update(now time.Time) {
	k := map[string]bool{}
	n := 0
	r.fleet.VisitEstimates(now, func(id, service string, speed float64, slots, of int) {
		k[id] = true
		s := r.servers[id]
		if s != nil && s.service != service {
			r.remove(id, s)
			s = nil
		}
		if s == nil {
			s = &reported{service: service, class: classUsual, slots: of}
			r.servers[id] = s
		}
		r.speed.WithLabelValues(service, id).Set(speed)
		r.slots.WithLabelValues(service, id).Set(float64(slots))
		c := classOf(speed, s.class)
		if c == s.class && slots == s.slots || n >= maxLines || !s.loggedAt.IsZero() && now.Sub(s.loggedAt) < lineInterval {
			return
		}
		n++
		s.class, s.slots, s.loggedAt = c, slots, now
		r.logger.WithFields(log.Fields{"server": id, "service": service, "class": c, "speed": speed, "served-slots": slots, "slots": of}).Info("meter: estimate of a backend server has changed")
	})
	for i, s := range r.servers {
		if !k[i] {
			r.remove(i, s)
		}
	}
}

func (r *Report) remove(id string, server *reported) {
	r.speed.DeleteLabelValues(server.service, id)
	r.slots.DeleteLabelValues(server.service, id)
	delete(r.servers, id)
}

// classOf returns the class of a speed. A server leaves its last class only when it is past
// the bound by the tolerance.
func classOf(speed float64, last string) string {
	s, f := slowSpeed, fastSpeed
	switch last {
	case classSlow:
		s *= tolerance
	case classFast:
		f /= tolerance
	}
	switch {
	case speed < s:
		return classSlow
	case speed > f:
		return classFast
	}
	return classUsual
}
