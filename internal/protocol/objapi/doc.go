// Package objapi is the client of the platform's object API, a REST API in the
// style of Kubernetes.
//
// Each write has a connection of its own. A write that fails before it has a
// connection surely did not take effect, and net/http, which repeats some
// requests on reused connections, has none to repeat; a connection that went
// silent since its last use can't swallow a write either. Reads reuse
// connections and are repeated once, on a new one.
//
// A watch consists of short legs, each one HTTP request, so that a connection
// that goes silent delays a change by one leg at most.
package objapi
