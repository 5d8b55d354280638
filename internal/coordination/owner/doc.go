// Package owner ranks members for a key by rendezvous hashing.
//
// Every process that knows the same members computes the same order without a
// message, and a member that comes or goes moves only the keys it owned.
// Ownership is a preference: what must be agreed is settled by conditional
// updates at the platform.
package owner
