package fleet

import (
	"math"
	"time"
)

const (
	// Weight of the newest request in the moving average of the tokens of a request.
	tokensWeight = 0.05
	// Time after which requests that fronts of other data centres of a large fleet
	// place are known here. Each front there reports for all with its heartbeats.
	farDelay = 150 * time.Millisecond
	// Time for which a front relies on being the one that gives out the margin of a server.
	marginInterval = 100 * time.Millisecond
	// Memory that batch items leave free at a server for the next online request, in
	// shares of a slot.
	itemReserveSlots = 1
)

// placement is what a request states beyond the parameters of AcquireOnline and
// AcquireBatch.
type placement struct {
	// Prompt tokens plus the maximum number of output tokens, 0 if not stated.
	tokens int64
	// Set by WithDemand.
	demand *demandOptions
}

type option = func(*placement)

// WithTokens states the prompt tokens plus the maximum number of output tokens of a
// request, 0 if unknown. A request that was acquired with them is released with them.
func WithTokens(tokens int64) option {
	return func(p *placement) { p.tokens = max(tokens, 0) }
}

func newPlacement(options []option) placement {
	var p placement
	for _, o := range options {
		o(&p)
	}
	return p
}

// tokens returns the known tokens of all requests in flight at the server.
func (s *server) tokens() int64 { return s.ownTokens + s.remoteTokens }

// tokenSizes holds moving averages of the tokens of requests and of their squares.
type tokenSizes struct{ mean, square float64 }

func (z *tokenSizes) add(tokens int64) {
	n := float64(tokens)
	if z.mean == 0 {
		z.mean, z.square = n, n*n
	}
	z.mean += tokensWeight * (n - z.mean)
	z.square += tokensWeight * (n*n - z.square)
}

// large returns the size of a large request, one standard deviation above the mean.
func (z *tokenSizes) large() float64 {
	return z.mean + math.Sqrt(max(z.square-z.mean*z.mean, 0))
}

// tokenCheck decides which servers have the memory for a request.
type tokenCheck struct {
	fleet   *Fleet
	service *service
	now     time.Time
	tokens  int64
	// Part of the memory to be left free, in slots.
	reserveSlots int64
	// Servers with room for a request of mean size beside this one.
	roomy int
	// A server that could take the request otherwise lacks the memory at the moment.
	lacking bool
}

func (f *Fleet) tokenCheck(now time.Time, service *service, options []option, reserveSlots int64) tokenCheck {
	k := tokenCheck{fleet: f, service: service, now: now, tokens: newPlacement(options).tokens, reserveSlots: reserveSlots}
	if k.tokens == 0 || service.memory.least == 0 || len(f.peers) == 0 {
		return k
	}
	for _, s := range service.servers {
		if s.memory.tokens == 0 || s.tokens()+k.tokens+int64(service.sizes.mean) <= s.memory.tokens {
			k.roomy++
		}
	}
	return k
}

// fits reports whether a server has the memory for the request beside those that it
// holds, those that other fronts may have placed there unheard, and the reserve. A server
// whose memory is unknown, and a request that states no tokens, can't be judged.
//
// A server that holds nothing takes any request that fits its memory. Otherwise a request
// that leaves no margin would never run.
//
// The margin covers large requests of several fronts at once. What it leaves free is
// given out by one front only, the first in rendezvous order of the server's data centre,
// which leaves room for one mean request of a front that has not heard of the last ones.
func (k tokenCheck) fits(server *server) bool {
	m := server.memory.tokens
	if m == 0 || k.tokens == 0 {
		return true
	}
	if server.tokens() == 0 {
		return k.tokens <= m
	}
	r := m - server.tokens() - k.tokens - k.reserveSlots*server.slotMemory()
	if r < 0 || len(k.fleet.peers) == 0 {
		return r >= 0
	}
	n := k.unheard(server)
	// The sizes of the first requests say little, so a slot's share is the least.
	u := int64(n * max(k.service.sizes.large(), float64(server.slotMemory())))
	if r >= max(u, int64(n*float64(k.tokens))) {
		return true
	}
	return r >= int64(k.service.sizes.mean) && r+k.tokens < u && k.fleet.givesOutMargin(k.now, server)
}

// unheard returns a high estimate of the number of requests that other fronts have placed
// at a server and that this front has not heard of: one, since any front may place one at
// any time, and the mean and two standard deviations of those that arrive while loads
// propagate. They go to the servers that have room.
func (k tokenCheck) unheard(server *server) float64 {
	f := k.fleet
	n, d := f.immediatePeers, f.propagationDelay()
	if f.isFar(server) {
		n, d = len(f.peers), farDelay
	}
	u := (k.service.concurrentPlacements(n, d) - 1) / float64(max(k.roomy, 1))
	return 1 + u + 2*math.Sqrt(u)
}

// givesOutMargin reports whether this front gives out the margin of a server. It is found
// anew after marginInterval only, since it takes a hash for each front.
func (f *Fleet) givesOutMargin(now time.Time, server *server) bool {
	if f.isFar(server) {
		return false
	}
	if d := now.Sub(server.marginCheckedAt); d < 0 || d >= marginInterval {
		server.marginCheckedAt = now
		server.givesOutMargin = f.first(now, server.entry.GetId(), server.entry.GetDataCentre()) == f.self
	}
	return server.givesOutMargin
}

// isFar reports whether the known load of a server is mostly that of fronts of another
// data centre, which is older than that of the own one.
func (f *Fleet) isFar(server *server) bool {
	return len(f.peers) > SmallFleetPeers && server.entry.GetDataCentre() != f.dataCentre
}

// slotMemory returns the share of a slot in the server's memory, in tokens.
func (s *server) slotMemory() int64 { return s.memory.tokens / int64(s.slots()) }

// memoryExcess returns 1 if the batch items at a server must give up one of them, so that
// its memory has room for an online request again, else 0. A request that is alone is
// left there: one that needs nearly all memory would never end otherwise.
func (s *server) memoryExcess() int {
	if s.memory.tokens > 0 && s.total() > 1 && s.memory.tokens-s.tokens() < s.slotMemory()/2 {
		return 1
	}
	return 0
}

// countTokens counts the tokens of a request of this front at a server.
func (v *service) countTokens(server *server, tokens int64) {
	if tokens == 0 {
		return
	}
	server.ownTokens += tokens
	v.sizes.add(tokens)
}

// releaseTokens ends the count of a request's tokens. A server without requests of this
// front holds no tokens of it, which ends any error in the count.
func (s *server) releaseTokens(tokens int64) {
	s.ownTokens = max(s.ownTokens-tokens, 0)
	if s.online+s.batch == 0 {
		s.ownTokens = 0
	}
}
