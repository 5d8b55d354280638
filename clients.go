package trail

import "time"

// ClientBudget bounds what a process holds for clients that it does not control. Its
// methods are safe for concurrent use.
type ClientBudget interface {
	// Open adds a connection. It returns nil if there is no room for it. disconnect
	// closes the connection and is called when it must give way; it must not block.
	Open(now time.Time, disconnect func()) ClientClaim
}

// ClientClaim is what a process holds for one connection of a client. At any time the
// process either waits for the client or works for it. A client that the process has
// waited for too long gives way to others. Its methods are safe for concurrent use.
type ClientClaim interface {
	// Grow takes bytes before they are allocated, and reports whether there is room.
	Grow(now time.Time, bytes int64) bool
	// Shrink gives bytes back.
	Shrink(bytes int64)
	// Await starts a wait for the client.
	Await(now time.Time)
	// Work ends a wait in which the client has sent or read a number of bytes.
	Work(now time.Time, moved int)
	// Reset gives back all but the connection itself and waits for the next request.
	Reset(now time.Time)
	// Close gives everything back.
	Close()
}

// Room is a limit on bytes that several users share. Its methods are safe for concurrent
// use.
type Room interface {
	// Take takes a number of bytes, which must be returned. It reports whether there is
	// room for them.
	Take(bytes int) bool
	// Return gives back a number of bytes.
	Return(bytes int)
}
