package rules

import (
	"crypto/sha256"
	"slices"
	"strings"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Table is one version of the configuration, indexed for lookups. It is
// immutable.
type Table struct {
	config *wire.RouteTable
	// Keyed by host in lower case. Each list is sorted by prefix length,
	// longest first.
	routesByHost map[string][]*wire.RouteRule
	services     map[string]*wire.ServiceRule
	// By name.
	teams map[string]*wire.TeamRule
	// By the digest of a key. A key of two teams is that of none.
	teamsByDigest map[[sha256.Size]byte]*wire.TeamRule
	// Names of the teams with a key of several teams.
	sharingTeams map[string]bool
}

// New returns a table that indexes config, which must not be modified
// afterwards.
func New(config *wire.RouteTable) *Table {
	s := &Table{config: config, routesByHost: map[string][]*wire.RouteRule{}, services: map[string]*wire.ServiceRule{}}
	s.indexTeams()
	for _, r := range config.GetRoutes() {
		h := strings.ToLower(r.GetHost())
		s.routesByHost[h] = append(s.routesByHost[h], r)
	}
	for _, l := range s.routesByHost {
		slices.SortStableFunc(l, func(a, b *wire.RouteRule) int { return len(b.GetPrefix()) - len(a.GetPrefix()) })
	}
	for _, v := range config.GetServices() {
		s.services[v.GetName()] = v
	}
	return s
}

// Version returns the version of the configuration.
func (s *Table) Version() int64 { return s.config.GetVersion() }

// Limits returns the configured limits on callers' requests.
func (s *Table) Limits() *wire.RouteTable_Limits { return s.config.GetLimits() }

// Match returns the route of host with the longest path prefix that matches
// path, or nil. Host names are case-insensitive, and a port in host is ignored.
func (s *Table) Match(host, path string) *wire.RouteRule {
	for _, r := range s.routesByHost[hostKey(host)] {
		if strings.HasPrefix(path, r.GetPrefix()) {
			return r
		}
	}
	return nil
}

// JobRoute returns the route of a batch job that was accepted for host and path on the
// route called name, or nil if it was removed. A batch route of that name is the job's
// also when another one has a longer prefix by now. Without one the job's route was
// renamed or removed, and what Match returns is the job's route if it accepts jobs. With
// an empty name the route is not known: it is the batch route with the longest prefix.
func (s *Table) JobRoute(name, host, path string) *wire.RouteRule {
	var l []*wire.RouteRule
	for _, r := range s.routesByHost[hostKey(host)] {
		switch {
		case !strings.HasPrefix(path, r.GetPrefix()):
		case r.GetBatch() && r.GetName() == name:
			return r
		default:
			l = append(l, r)
		}
	}
	for _, r := range l {
		if r.GetBatch() {
			return r
		}
		if name != "" {
			break
		}
	}
	return nil
}

// HasHost reports whether the configuration has routes for host. It ignores
// case and port like Match.
func (s *Table) HasHost(host string) bool {
	return len(s.routesByHost[hostKey(host)]) > 0
}

// HasBatch reports whether the configuration has batch routes for host.
func (s *Table) HasBatch(host string) bool {
	return slices.ContainsFunc(s.routesByHost[hostKey(host)], (*wire.RouteRule).GetBatch)
}

// SameHost reports whether two hosts are the same but for case and port.
func SameHost(a, b string) bool { return hostKey(a) == hostKey(b) }

// hostKey returns a host in lower case without its port.
func hostKey(host string) string {
	h, _, _ := strings.Cut(host, ":")
	return strings.ToLower(h)
}

// Service returns the configuration of a service, or nil if there is none.
func (s *Table) Service(name string) *wire.ServiceRule { return s.services[name] }

// PickService selects the service that receives a request of route, at random
// in proportion to the weights of the route's services. draw is a uniform
// random number in [0, 1). It returns the empty string if the route has no
// services.
func PickService(route *wire.RouteRule, draw float64) string {
	l := route.GetShares()
	t := 0.0
	for _, s := range l {
		t += max(s.GetWeight(), 0)
	}
	d := draw * t
	for _, s := range l {
		w := max(s.GetWeight(), 0)
		if d < w {
			return s.GetService()
		}
		d -= w
	}
	if len(l) == 0 {
		return ""
	}
	return l[len(l)-1].GetService()
}

// ResumableServices returns the services of all routes whose streams may be
// resumed, each at least once.
func (s *Table) ResumableServices() []string {
	var l []string
	for _, r := range s.config.GetRoutes() {
		if !r.GetStream() || !r.GetResumable() {
			continue
		}
		for _, v := range r.GetShares() {
			l = append(l, v.GetService())
		}
	}
	return l
}

// HasService reports whether a service receives requests of route.
func HasService(route *wire.RouteRule, service string) bool {
	return slices.ContainsFunc(route.GetShares(), func(s *wire.RouteShare) bool { return s.GetService() == service && s.GetWeight() > 0 })
}
