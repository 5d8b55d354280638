// Package pool sends HTTP/1.1 requests over persistent connections and decides,
// for each request that fails, whether it may have run.
//
// A connection carries one exchange at a time. A response that belongs to another
// request is discarded, and a connection with unexpected bytes is closed. A
// request is written at most once: the package never retries.
package pool
