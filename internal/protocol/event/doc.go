// Package event splits a text/event-stream into events.
//
// Events are passed on as they were received, byte for byte; only the id and
// the data are read from them.
package event
