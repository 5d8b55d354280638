// Package demo drives a running deployment as its callers and operators do,
// through the client library that callers already have, and checks what comes
// back.
package demo
