package limit

import (
	"time"

	"github.com/apex/log"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Refused requests of one team and outcome are logged at most this often, with their
// number since the last line.
const refusalLogInterval = time.Second

// refusalLog bounds the lines about refused requests.
type refusalLog struct {
	lines map[refusalKind]*refusalLine
}

// refusalKind is what the refused requests of a line have in common. Teams are those
// of the configuration.
type refusalKind struct{ team, outcome string }

// refusalLine is the line about refused requests of one kind.
type refusalLine struct {
	count    int
	loggedAt time.Time
}

// add counts a refused request, and logs the number of those since the last line.
func (l *refusalLog) add(now time.Time, logger log.Interface, request *wire.RateRequest, id, counter, outcome string) {
	k := refusalKind{request.GetTeam(), outcome}
	x := l.lines[k]
	if x == nil {
		x = &refusalLine{}
		l.lines[k] = x
	}
	x.count++
	if !x.loggedAt.IsZero() && now.Sub(x.loggedAt) < refusalLogInterval {
		return
	}
	logger.WithFields(log.Fields{
		"team": request.GetTeam(), "front": counter, "per-second": request.GetRequestsPerSecond(), "burst": request.GetBurst(),
		"config-version": request.GetVersion(), "outcome": outcome, "refused": x.count, "request-id": id,
	}).Warn("limit: requests of a team refused")
	x.count, x.loggedAt = 0, now
}
