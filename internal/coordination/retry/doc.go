// Package retry implements a retry budget: it limits retries to a share of
// first attempts, so that an outage does not multiply the load on the remaining
// backend servers.
package retry
