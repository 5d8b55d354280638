// Package speed estimates how fast each backend server of a service is, and how
// many concurrent requests it serves before it slows down.
//
// A front measures the time to the first byte and the pace of events of each
// complete response, and divides both by what is usual for requests of that size.
// The result is a sample, which fronts exchange. For each server the package keeps
// the weighted mean of the logarithms of its samples, in which old samples fade.
// Samples of a server that is nearly full are compared with those of the same
// server below that, which shows whether it slows down.
//
// Times are passed in, and the package has no input or output. docs/design/server-capacity.md
// states what was weighed.
package speed
