// Package stop describes why a request is stopped.
package stop

import "time"

// Decision is the evidence on which a request is stopped, and how long it holds.
type Decision struct {
	part        int
	losses      int
	servers     int
	first, last time.Time
	knownPart   bool
	until       time.Time
}

// New returns a decision about a whole request that rests on a number of losses
// in a row of so many different servers, and holds until a given time.
func New(losses, servers int, first, last, until time.Time) Decision {
	return Decision{part: -1, losses: losses, servers: servers, first: first, last: last, until: until}
}

// WithPart returns a copy that is about the shared part of a prompt with an
// index. known tells whether an answer had begun on it before the first loss.
func (d Decision) WithPart(index int, known bool) Decision {
	d.part = index
	d.knownPart = known
	return d
}

// Part returns the index of the shared part that the decision is about, or -1 if
// it is about the request itself.
func (d Decision) Part() int { return d.part }

// Losses returns the number of losses in a row.
func (d Decision) Losses() int { return d.losses }

// Servers returns the number of different servers that were lost.
func (d Decision) Servers() int { return d.servers }

// First returns the time of the first loss.
func (d Decision) First() time.Time { return d.first }

// Last returns the time of the last loss.
func (d Decision) Last() time.Time { return d.last }

// KnownPart returns whether an answer had begun on the part shortly before the
// first loss.
func (d Decision) KnownPart() bool { return d.knownPart }

// Until returns when the decision ends, unless an answer begins before.
func (d Decision) Until() time.Time { return d.until }
