// Package plain is a stand-in for a plain service behind the system, such as
// an order lookup. Every request outside /control/ runs and is counted, in
// total and for each Idempotency-Key, so that a test sees what ran twice.
package plain
