// Package pool sends HTTP/1.1 requests over kept connections and decides, for
// each that fails, whether it may have run.
//
// One connection carries one exchange at a time. An answer that the request
// did not ask for is skipped, and a connection with bytes that belong to no
// exchange is closed. A request is written at most once: nothing is repeated
// here.
package pool
