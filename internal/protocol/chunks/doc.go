// Package chunks turns the event stream of a chat completion into the whole
// answer that the same request gets without streaming.
package chunks
