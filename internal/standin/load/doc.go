// Package load is a load generator: it replays a trace of requests against the
// entries of a deployment and reports latencies and failures as callers see
// them.
//
// A trace is a sequence of JSON lines in order of start time. Each line is an
// online question, a call of a plain service or a batch job; Generate writes
// traces of the two deployments. Latency is measured from the planned start of
// a request, so that a delay in the tool itself counts as latency. Answers of
// engine stand-ins can be compared with the text expected for the request.
package load
