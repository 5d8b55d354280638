// Package owner ranks members for a key by rendezvous hashing.
//
// Processes with the same member list compute the same order without
// exchanging messages. When a member joins or leaves, only the keys that it
// owns change owner. Ownership is advisory: processes with different member
// lists may disagree, so exclusive state is protected by conditional updates
// on the platform.
package owner
