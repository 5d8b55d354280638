// Package plain is a stand-in for a plain service, such as an order lookup. Every
// request outside /control/ is executed and counted: in total, by
// Idempotency-Key and by X-Request-Id, so that tests detect duplicate execution.
package plain
