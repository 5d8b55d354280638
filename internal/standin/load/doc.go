// Package load is the load tool: it drives a trace of requests against the
// entries of a deployment and reports what callers see.
//
// A trace is JSON lines in order of time, each a question, a call of a plain
// service or a batch job; Generate writes traces of the two deployments. Times
// count from the moment at which the trace wants a request to start, so that a
// request which the tool itself delays counts as slow. Answers of engine
// stand-ins are compared with the text that the request must give.
package load
