// Package rate decides which requests of teams with a rate limit may run. It is a
// decision module: it takes the current time and what the fleet knows, opens no
// socket and starts no goroutine.
//
// One front counts the requests of a team for all fronts in a token bucket. The
// others ask it for each request, and refuse requests by themselves until the time
// that it has told with a denial. While it does not answer, each front has a reserve,
// its part of what the counting front would grant.
package rate
