package resume

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/builds"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/build"
)

const (
	// A stream is known for this long after it was last recorded, and up to twice
	// as long.
	lifetime = time.Minute
	// A stream is sent to the other fronts for this long after it was recorded, so
	// that a lost datagram hides none.
	reportTime = 600 * time.Millisecond
	// Streams that one datagram holds at most, the newest ones.
	maxReported = 256
	// RenewInterval is the time after which a stream that goes on is recorded
	// again.
	RenewInterval = lifetime / 3
	// Limit on the time to ask other fronts.
	askTimeout = 150 * time.Millisecond
)

// Record holds the streams that this front knows. Its methods are safe for
// concurrent use.
type Record struct {
	builds *builds.Keeper
	asker  trail.StreamAsker
	// Returns the fronts that may know what this one does not.
	fronts func() []string

	mu sync.Mutex
	// Origins by the hash of the attempt that brought the stream's first event. The
	// older streams are dropped when the newer ones have filled for lifetime.
	newer, older map[uint64]origin
	turnedAt     time.Time
	// Streams that this front has recorded within reportTime, oldest first.
	recent []begun
}

// Sources of what a front knows of a stream, for logs and metrics.
const (
	// This front knows it, by itself or by the datagram of another one.
	SourceRecord = "record"
	// Another front has answered a question.
	SourceFront = "front"
	// Its service has had a single build.
	SourceOnlyBuild = "only-build"
	SourceNone      = "none"
)

// origin is what has begun a stream.
type origin struct {
	build build.Build
	// Hash of the backend server's id and start of its process, set while the
	// version is unknown because the registry did not name that process.
	server uint64
	born   int64
}

// begun is a stream as this front reports it.
type begun struct {
	stream uint64
	origin origin
	at     time.Time
}

// New returns an empty record that asks fronts through asker.
func New(builds *builds.Keeper, asker trail.StreamAsker, fronts func() []string) *Record {
	return &Record{builds: builds, asker: asker, fronts: fronts, newer: map[uint64]origin{}, turnedAt: time.Now()}
}

// Add records the build that has begun a stream. attempt is the id of the attempt
// that brought its first event.
func (r *Record) Add(now time.Time, attempt string, b build.Build) {
	r.add(now, attempt, origin{build: b})
}

// AddProcess does the same for a process of a backend server, started at born in Unix
// milliseconds, that the registry does not name yet. The version is unknown until it
// does.
func (r *Record) AddProcess(now time.Time, attempt, service, server string, born int64) {
	r.add(now, attempt, origin{build.Unknown(service), xxhash.Sum64String(server), born})
}

func (r *Record) add(now time.Time, attempt string, begunBy origin) {
	if begunBy.build.IsUnknown() {
		r.builds.RecordUnknown(now, begunBy.build.Service())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	h := xxhash.Sum64String(attempt)
	r.put(now, h, begunBy)
	r.recent = append(r.recent, begun{h, begunBy, now})
}

// put stores the origin of a stream. If it is known with another one, the version is
// unknown. The caller holds the lock.
func (r *Record) put(now time.Time, stream uint64, begunBy origin) {
	if now.Sub(r.turnedAt) > lifetime {
		r.older, r.newer = r.newer, map[uint64]origin{}
		r.turnedAt = now
	}
	o, k := r.get(stream)
	if k {
		begunBy = o.merge(begunBy)
	}
	r.newer[stream] = begunBy
}

// merge returns what is known of a stream that two fronts know. A version is known by
// the registry's word on the process that the other front has named. If they name two
// versions, it is unknown.
func (o origin) merge(other origin) origin {
	s := o.build.Service() == other.build.Service()
	switch {
	case o == other, s && o.born != 0 && other.build.IsNamed():
		return other
	case s && other.born != 0 && o.build.IsNamed():
		return o
	}
	return origin{build: build.Unknown(other.build.Service())}
}

// get returns the origin of a stream. The caller holds the lock.
func (r *Record) get(stream uint64) (origin, bool) {
	o, k := r.newer[stream]
	if !k {
		o, k = r.older[stream]
	}
	return o, k
}

// resolve returns the build of a stream, whose process the registry may name by now.
func (r *Record) resolve(begunBy origin) build.Build {
	b, k := r.builds.OfProcess(begunBy.server, begunBy.born)
	if begunBy.born != 0 && k && b.Service() == begunBy.build.Service() {
		return b
	}
	return begunBy.build
}

// Report returns the streams that this front has recorded lately.
func (r *Record) Report(now time.Time) []*wire.BegunStream {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.recent) > maxReported || len(r.recent) > 0 && now.Sub(r.recent[0].at) > reportTime {
		r.recent = r.recent[1:]
	}
	var l []*wire.BegunStream
	for _, x := range r.recent {
		l = append(l, encode(x.stream, x.origin))
	}
	return l
}

func encode(stream uint64, begunBy origin) *wire.BegunStream {
	s := wire.BegunStream_builder{Stream: &stream, Service: proto.String(begunBy.build.Service()), Version: proto.String(begunBy.build.Version())}
	if begunBy.build.IsUnknown() {
		s.Unknown = proto.Bool(true)
	}
	if begunBy.born != 0 {
		s.Server, s.Born = &begunBy.server, &begunBy.born
	}
	return s.Build()
}

func decode(stream *wire.BegunStream) origin {
	b := build.New(stream.GetService(), stream.GetVersion())
	if stream.GetUnknown() {
		b = build.Unknown(stream.GetService())
	}
	return origin{b, stream.GetServer(), stream.GetBorn()}
}

// Merge takes over the streams that another front has recorded.
func (r *Record) Merge(now time.Time, streams []*wire.BegunStream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range streams {
		r.put(now, s.GetStream(), decode(s))
	}
}

// Answer returns what this front knows of a stream that another one asks for.
func (r *Record) Answer(query *wire.StreamQuery) *wire.StreamReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := wire.StreamReply_builder{Id: proto.Uint64(query.GetId())}
	o, k := r.get(query.GetStream())
	if k {
		a.Stream = encode(query.GetStream(), o)
	}
	return a.Build()
}

// Find returns the build at which a stream may go on. attempt is the id of the
// attempt that brought its first event; services are those of its route. The source
// says how the build is known, also if the stream may not go on there. The verdict of
// an error is NotRun.
//
// A stream that neither this front nor another one knows goes on only if its service
// has had one build for long, by the platform's word. What this front believes of that
// by itself may be out of date: it may have stood still or been cut off.
func (r *Record) Find(ctx context.Context, attempt string, services []string) (b build.Build, source string, err error) {
	b, source = r.lookUp(ctx, xxhash.Sum64String(attempt), services)
	if source == SourceNone || !r.MayGoOn(b) {
		return build.Build{}, source, trail.NewError("stream-unknown", trail.NotRun, "software version that began the stream is not known").WithPlace(attempt)
	}
	return b, source, nil
}

// lookUp returns the build of a stream and how it is known.
func (r *Record) lookUp(ctx context.Context, stream uint64, services []string) (b build.Build, source string) {
	r.mu.Lock()
	o, k := r.get(stream)
	r.mu.Unlock()
	if k {
		return r.resolve(o), SourceRecord
	}
	o, k, a := r.ask(ctx, stream)
	if k {
		return r.resolve(o), SourceFront
	}
	if a && len(services) == 1 {
		b, k = r.builds.ConfirmOnly(ctx, services[0])
		if k {
			return b, SourceOnlyBuild
		}
	}
	return build.Build{}, SourceNone
}

// MayGoOn reports whether a stream that a build has begun may go on at servers of
// the same build: the version is known, or the servers of the service name none.
func (r *Record) MayGoOn(b build.Build) bool {
	if b.IsNamed() || b.IsUnknown() {
		return b.IsNamed()
	}
	o, k := r.builds.Only(time.Now(), b.Service())
	return k && o == b
}

// ask asks other fronts for a stream. It returns the first answer of one that knows
// the stream, and whether any has answered, or there is none to ask: a front that no
// other one answers may be cut off.
func (r *Record) ask(ctx context.Context, stream uint64) (begunBy origin, known, answered bool) {
	c, f := context.WithTimeout(ctx, askTimeout)
	defer f()
	l := r.fronts()
	a := make(chan *wire.StreamReply, len(l))
	for _, n := range l {
		go func() {
			p, e := r.asker.AskStream(c, n, wire.StreamQuery_builder{Stream: &stream}.Build())
			if e != nil {
				p = nil
			}
			a <- p
		}()
	}
	answered = len(l) == 0
	for range l {
		p := <-a
		answered = answered || p != nil
		if p.HasStream() {
			s := []*wire.BegunStream{p.GetStream()}
			r.Merge(time.Now(), s)
			return decode(s[0]), true, true
		}
	}
	return origin{}, false, answered
}
