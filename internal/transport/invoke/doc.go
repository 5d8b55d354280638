// Package invoke runs calls at backend servers over HTTP/1.1 and decides, for
// each call that fails, whether it may have run.
//
// A call that certainly did not run is an error of Client.Call, so that the
// scheduler can place it again before any reply exists: the dial failed,
// nothing was written, or the backend server refused it with a complete 429 or
// 503. Everything later is a reply. A call that breaks after its request was
// written ends in an End with a code, the verdict may-have-run and a mark when
// the connection was reset or closed early; that End comes without a Head when
// the answer had not begun.
package invoke
