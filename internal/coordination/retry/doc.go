// Package retry bounds retries to a share of first attempts, so that an outage
// does not multiply the load on the backend servers that are left.
package retry
