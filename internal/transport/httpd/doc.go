// Package httpd serves HTTP with limits, flushes what handlers write at once,
// and shuts down without breaking requests in progress.
//
// A server bounds the time and size of headers, the size of bodies, the time
// without progress in either direction, and the number of connections. It is
// ready from the start of Serve until the context of Serve ends.
package httpd
