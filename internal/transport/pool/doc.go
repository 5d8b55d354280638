// Package pool sends HTTP/1.1 requests over persistent connections and decides,
// for each request that fails, whether it may have run.
//
// A connection carries one exchange at a time, and no id of a request twice, since a
// server may write an answer once more while it works on a request with the same id. A
// response that belongs to another request is discarded, and a connection with unexpected
// bytes is closed. A request is written at most once: the package never retries.
package pool
