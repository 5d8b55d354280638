// Package objapi is a client for the platform's object API, a REST API in the
// style of Kubernetes.
//
// Each write uses a new connection. A write that fails before it has a
// connection is thus known not to have taken effect. Besides, net/http retries
// some requests on reused connections, which must not happen to a write, and a
// reused connection may have stopped responding since its last use. Reads reuse
// connections and are retried once, on a new connection.
//
// A watch is a sequence of short HTTP requests, so that a connection that stops
// responding delays a change by the duration of one request at most.
package objapi
