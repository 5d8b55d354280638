package builds

import (
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/state/build"
)

const (
	// Kind of the objects, one for each service.
	kind = "service-versions"
	// Longest time from the first event of a stream until it is taken up.
	streamLifetime = time.Minute
	// A version without servers for this long is recorded anew when it comes back.
	// It stays in its object for twice the lifetime of a stream.
	returnTime = streamLifetime / 2
	pruneTime  = 2 * streamLifetime
	digestAge  = 100 * time.Millisecond
)

// Keeper records the versions of all services with streams that may be resumed.
// Its methods are safe for concurrent use.
type Keeper struct {
	store trail.Store
	fleet *fleet.Fleet
	// Returns the services with streams that may be resumed.
	services func() []string
	// Returns the position of this front among the live ones that reach the
	// platform: the first one writes.
	rank   func() int
	logger log.Interface
	// Holds a value while the registry or the configuration has changed.
	changed chan struct{}

	mu     sync.Mutex
	builds map[build.Build]*record
	// Versions in the object of a service, as last read or written.
	stored map[string][]string
	digest digest
	// The objects were read once since the start.
	hasRead   bool
	startedAt time.Time
}

// record is what a front knows of one build.
type record struct {
	// When it had a server last. For a build that only its object names, the time
	// of the first read.
	servedAt time.Time
	// When its first server was listed.
	listedAt time.Time
	// The object of the service names it.
	recorded bool
}

// digest is a digest of the builds that have servers.
type digest struct {
	value uint64
	// The objects name all of them.
	recorded   bool
	computedAt time.Time
}

// New returns a keeper that has read nothing yet.
func New(store trail.Store, fleet *fleet.Fleet, services func() []string, rank func() int, logger log.Interface) *Keeper {
	return &Keeper{
		store: store, fleet: fleet, services: services, rank: rank, logger: logger, changed: make(chan struct{}, 1),
		builds: map[build.Build]*record{}, stored: map[string][]string{}, startedAt: time.Now(),
	}
}

// Recorded returns the versions of a service at which streams may begin without
// the risk that they are resumed at another one after a loss of all fronts.
func (k *Keeper) Recorded(service string) map[string]bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	m := map[string]bool{}
	for b, r := range k.builds {
		if b.Service() == service && r.recorded {
			m[b.Version()] = true
		}
	}
	return m
}

// Only returns the build of a service that has begun all of its streams which can
// still go on, as far as this front knows. It returns false if there may be several,
// or while this front has not read which there are.
func (k *Keeper) Only(now time.Time, service string) (build.Build, bool) {
	defer k.observe(now)()
	var f build.Build
	for b, r := range k.builds {
		if b.Service() != service || now.Sub(r.servedAt) > streamLifetime {
			continue
		}
		if !f.IsZero() {
			return build.Build{}, false
		}
		f = b
	}
	return f, k.hasRead && !f.IsZero()
}

// OfProcess returns the build of a process of a backend server as fleet.BuildOfProcess
// does.
func (k *Keeper) OfProcess(server uint64, born int64) (build.Build, bool) {
	return k.fleet.BuildOfProcess(server, born)
}

// observe locks the keeper and updates the builds by the servers in the registry.
// It returns the function that unlocks the keeper.
func (k *Keeper) observe(now time.Time) func() {
	l := k.fleet.Builds()
	k.mu.Lock()
	for _, b := range l {
		r := k.builds[b]
		if r == nil {
			r = &record{listedAt: now}
			k.builds[b] = r
		} else if now.Sub(r.servedAt) > returnTime {
			*r = record{listedAt: now}
		}
		r.servedAt = now
	}
	for b, r := range k.builds {
		if now.Sub(r.servedAt) > pruneTime {
			delete(k.builds, b)
		}
	}
	return k.mu.Unlock
}

// listed returns the sorted versions of a service that have servers. The caller
// holds the lock.
func (k *Keeper) listed(now time.Time, service string) []string {
	var l []string
	for b, r := range k.builds {
		if b.Service() == service && b.IsNamed() && r.servedAt.Equal(now) {
			l = append(l, b.Version())
		}
	}
	slices.Sort(l)
	return l
}

// Digest returns a digest of the builds that have servers, at most digestAge ago,
// and whether the objects name all of them.
func (k *Keeper) Digest(now time.Time) (uint64, bool) {
	k.mu.Lock()
	d := k.digest
	k.mu.Unlock()
	if now.Sub(d.computedAt) < digestAge {
		return d.value, d.recorded
	}
	defer k.observe(now)()
	h := xxhash.New()
	a := true
	for _, s := range k.sortedServices() {
		for _, v := range k.listed(now, s) {
			_, _ = h.WriteString(s + "\x00" + v + "\x00")
			a = a && k.builds[build.New(s, v)].recorded
		}
	}
	k.digest = digest{h.Sum64(), a, now}
	return k.digest.value, a
}

// Confirm marks all builds that have servers now as recorded, if their digest is
// that of another front whose builds are.
func (k *Keeper) Confirm(now time.Time, digest uint64) {
	d, a := k.Digest(now)
	if a || d != digest {
		return
	}
	defer k.observe(now)()
	for _, s := range k.sortedServices() {
		k.markRecorded(s, k.listed(now, s))
	}
}

func (k *Keeper) sortedServices() []string {
	l := k.services()
	slices.Sort(l)
	return slices.Compact(l)
}

// markRecorded records that the object of a service names versions. The caller
// holds the lock.
func (k *Keeper) markRecorded(service string, versions []string) {
	for _, v := range versions {
		r := k.builds[storedBuild(service, v)]
		if r != nil {
			r.recorded = true
		}
	}
	k.digest = digest{}
}

// RecordUnknown records that a stream of a service has begun at a version that nobody
// knows: after a loss of all fronts its streams must not be taken for those of the only
// version that is named.
func (k *Keeper) RecordUnknown(now time.Time, service string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := build.Unknown(service)
	r := k.builds[b]
	if r == nil {
		r = &record{listedAt: now}
		k.builds[b] = r
		k.TriggerCheck()
	}
	r.servedAt = now
}

// TriggerCheck makes the keeper compare the registry with the objects now.
func (k *Keeper) TriggerCheck() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}
