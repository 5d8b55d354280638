// Package invoke sends calls to backend servers over HTTP/1.1 and determines,
// for each call that fails, whether it may have run.
//
// If a call certainly did not run, Client.Call returns an error, so that the
// scheduler can retry the call elsewhere before any reply exists. This is the
// case if the dial failed, nothing was written, or the backend server rejected
// the request with a complete 429 or 503 response. Every later failure is
// reported in the replies: a call that fails after its request was written ends
// with an End that has a code and the verdict may-have-run, and that is marked
// as crashed if the connection was reset or closed early. There is no Head
// before that End if the call failed before the response headers were received.
//
// A response counts, rejections included, only if it names the attempt id of the
// call, or names none on a connection that has carried nothing else. The question
// for the process that precedes preemptable streams counts as something else, except
// before an event stream. Any other response belongs to another request, and the
// call may have run. Connections are kept only after a response that named the id.
package invoke
