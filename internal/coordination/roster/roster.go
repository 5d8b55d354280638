package roster

import (
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/coordination/inform"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// watchersPerDataCentre is the number of fronts of a data centre that watch the
// platform for the others. With two, one is left to follow until the loss of the
// other is detected.
const watchersPerDataCentre = 2

// Roster is the list of registered fronts. It is safe for concurrent use.
type Roster struct {
	self   *wire.Front
	fronts *inform.Informer
	fleet  *fleet.Fleet
	logger log.Interface

	mu sync.Mutex
	// Closed when the objects have changed since they were decoded.
	changed <-chan struct{}
	// The last decoded list, by name. Replaced, never changed.
	decoded map[string]*wire.Front
	// Incremented whenever the list is decoded.
	version uint64
}

// New returns the roster for the front self. It decodes the objects of the
// informer fronts, by which fronts are registered.
func New(self *wire.Front, fronts *inform.Informer, fleet *fleet.Fleet, logger log.Interface) *Roster {
	return &Roster{self: self, fronts: fronts, fleet: fleet, logger: logger}
}

// All returns all fronts by name. The map must not be modified.
func (r *Roster) All() map[string]*wire.Front {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.changed:
	default:
		if r.decoded != nil {
			return r.decoded
		}
	}
	r.changed = r.fronts.Changed()
	r.decoded = r.decode()
	r.version++
	return r.decoded
}

// Version returns a number that increases whenever the list may have changed.
func (r *Roster) Version() uint64 {
	r.All()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

func (r *Roster) decode() map[string]*wire.Front {
	m := map[string]*wire.Front{}
	for n, o := range r.fronts.All() {
		f := &wire.Front{}
		e := o.Decode(f)
		if e != nil {
			r.logger.WithError(e).WithField("front", n).Warn("roster: registration of front not decoded, front left out")
			continue
		}
		m[n] = f
	}
	return m
}

// Address returns the peer address of a front, empty if unknown.
func (r *Roster) Address(name string) string { return r.All()[name].GetPeerAddress() }

// Watchers returns the names of the fronts of this data centre that are elected
// to watch the platform: the first healthy ones by name. It returns nil if all
// fronts must watch, because the fleet is small or no other healthy front of
// this data centre is known.
func (r *Roster) Watchers(now time.Time) []string {
	a := r.All()
	if len(a) <= fleet.SmallFleetPeers+1 {
		return nil
	}
	l := []string{r.self.GetName()}
	for _, n := range r.fleet.HealthyPeers(now) {
		if a[n].GetDataCentre() == r.self.GetDataCentre() {
			l = append(l, n)
		}
	}
	if len(l) == 1 {
		return nil
	}
	slices.Sort(l)
	return l[:min(len(l), watchersPerDataCentre)]
}
