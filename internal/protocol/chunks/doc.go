// Package chunks converts the event stream of a chat completion to the response
// that the same request would get without streaming.
package chunks
