package rules

import (
	"slices"
	"strings"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Table is one version of the configuration, indexed for lookups. It is
// immutable.
type Table struct {
	config *wire.RouteTable
	// By host, longest prefix first.
	routesByHost map[string][]*wire.RouteRule
	services     map[string]*wire.ServiceRule
}

// New indexes a configuration, which must not change afterwards.
func New(config *wire.RouteTable) *Table {
	s := &Table{config: config, routesByHost: map[string][]*wire.RouteRule{}, services: map[string]*wire.ServiceRule{}}
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

// Limits returns what callers may send.
func (s *Table) Limits() *wire.RouteTable_Limits { return s.config.GetLimits() }

// Match returns the route of the host with the longest prefix that begins the
// path, nil when there is none. A port in the host is ignored.
func (s *Table) Match(host, path string) *wire.RouteRule {
	h, _, _ := strings.Cut(host, ":")
	for _, r := range s.routesByHost[strings.ToLower(h)] {
		if strings.HasPrefix(path, r.GetPrefix()) {
			return r
		}
	}
	return nil
}

// HasHost says whether the configuration has routes for the host.
func (s *Table) HasHost(host string) bool {
	h, _, _ := strings.Cut(host, ":")
	return len(s.routesByHost[strings.ToLower(h)]) > 0
}

// Service returns what the configuration says of a service, nil for nothing.
func (s *Table) Service(name string) *wire.ServiceRule { return s.services[name] }

// PickService returns the service that receives a request of the route. The draw is a
// uniform number from 0 up to but not including 1; services share it by their
// weights.
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
