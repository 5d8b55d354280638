// Package engine is a stand-in for a model engine, for tests and measurements
// on one machine. It serves an OpenAI-compatible HTTP API and generates
// synthetic text.
//
// One goroutine owns all state. Requests wait for a slot in order of arrival,
// and every running request gets one token at the end of each step (continuous
// batching). A step lasts a fixed time plus a small cost for each running
// request. Before its first token, a request takes a prefill time for each
// prompt token that is not in the prefix cache. The text depends only on the
// messages, and its length also on the token limit of the request, so a test
// can compute it with Text.
//
// Load and cache events are published with a lag, and some cache events are
// lost, as with the engines of a deployment. POST /control/faults injects
// faults, and GET /control/runs reports what ran under each attempt id.
package engine
