package direct

import (
	"slices"
	"time"

	"github.com/apex/log"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/resume"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// resumable returns whether the request is for a stream that may be resumed.
func (x *call) resumable() bool { return x.route.GetStream() && x.route.GetResumable() }

// takeUp prepares a call that takes up a stream for the build that began it. The
// verdict of an error is NotRun.
func (x *call) takeUp() error {
	if !x.resumable() || x.request.LastEventID() == "" {
		return nil
	}
	var l []string
	for _, s := range x.route.GetShares() {
		if s.GetWeight() > 0 {
			l = append(l, s.GetService())
		}
	}
	b, s, e := x.server.streams.Find(x.ctx, x.request.ResumedAttempt(), l)
	x.streamSource = s
	if e != nil {
		return e
	}
	x.service, x.build, x.lastEventID = b.Service(), b, x.request.LastEventID()
	if !slices.Contains(l, x.service) || !x.server.fleet.Serves(b) {
		return trail.NewError("stream-version-gone", trail.NotRun, "stream began at version %s of %s, which does not serve any more", b.Version(), b.Service())
	}
	return nil
}

// reportTakeUp counts a call that takes up a stream, by its outcome and by how the
// build of the stream is known.
func (x *call) reportTakeUp(outcome string) {
	if x.streamSource != "" {
		x.server.takeUpsTotal.WithLabelValues(x.service, x.streamSource, outcome).Inc()
	}
}

// logGoesOn logs a further attempt of a stream of which a part was relayed, with the
// processes of both attempts as the registry names them.
func (x *call) logGoesOn(last, next *wire.BackendServer) {
	x.server.logger.WithFields(log.Fields{
		"request-id": x.request.ID(), "after-event": x.lastEventID, "version": x.build.Version(),
		"last-server": last.GetId(), "last-version": last.GetVersion(), "last-born": last.GetBorn(),
		"server": next.GetId(), "server-version": next.GetVersion(), "born": next.GetBorn(),
	}).Info("direct: stream goes on at another server")
}

// streamID returns the id by which the stream of the call is recorded: that of the
// caller's attempt that brought its first event.
func (x *call) streamID() string {
	if i := x.request.ResumedAttempt(); i != "" && x.request.LastEventID() != "" {
		return i
	}
	return x.request.ID()
}

// recordStream records the build that has begun the stream, before its first event
// is relayed, and again while the stream goes on.
func (x *call) recordStream() {
	o := time.Now()
	if !x.resumable() || o.Sub(x.recordedAt) < resume.RenewInterval {
		return
	}
	if x.build.IsZero() {
		x.build = x.server.fleet.BuildOf(x.backendServer, x.born)
	}
	x.recordedAt = o
	if x.born > 0 && x.build.IsUnknown() {
		x.server.streams.AddProcess(o, x.streamID(), x.build.Service(), x.backendServer.GetId(), x.born)
	} else {
		x.server.streams.Add(o, x.streamID(), x.build)
	}
	x.server.onLoadChange()
}

// mayGoOn returns whether a stream of which a part was relayed may go on at
// another backend server. It may not if the last server does not tell its process and
// has started again with another version: the events may be those of either.
func (x *call) mayGoOn() bool {
	if !x.resumable() || x.lastEventID == "" {
		// Comments may have been relayed, but no event.
		return x.resumable() && x.build.IsZero()
	}
	b := x.server.fleet.BuildOf(x.backendServer, x.born)
	switch {
	case !x.hasEvent || b == x.build:
	case x.born == 0:
		x.server.streams.Add(time.Now(), x.streamID(), b)
		return false
	case x.build.IsUnknown():
		// The registry names the process by now.
		x.build = b
	}
	return x.server.streams.MayGoOn(x.build)
}
