// Package event reads a text/event-stream (server-sent events) event by event.
//
// The raw bytes of each event are preserved, so that it can be forwarded
// unchanged. Only the id and data fields are parsed.
package event
