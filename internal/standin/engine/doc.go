// Package engine is a stand-in for a model engine, for tests and measurements
// on one machine. It speaks OpenAI-compatible HTTP and generates made-up text.
//
// One task owns all state: requests wait in order of arrival for a slot, and
// every running request gets one token at the end of each step. A step lasts a
// fixed time plus a small cost for each running request. Before its first
// token a request waits for its prompt tokens that are not in the prefix
// cache. The text depends on the messages only, so a test can compute it with
// Text.
//
// Load and cache events are published late, cache events also with gaps, as
// the engines of a deployment do. POST /control/faults sets faults, and
// GET /control/runs tells for each attempt id what ran.
package engine
