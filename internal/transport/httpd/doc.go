// Package httpd provides an HTTP server with resource limits, immediate
// flushing of responses and graceful shutdown.
//
// A server limits the time and size of request headers, the size of request
// bodies, the time without progress in either direction and the number of
// connections. It is ready from the start of Serve until the context of Serve
// ends, unless its readiness check fails.
package httpd
