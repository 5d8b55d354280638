// Package policy implements the policies by which a scheduler chooses backend
// servers and orders its queues.
//
// "fair" is the policy for operation: prefix affinity with bounded load, and
// queues that are fair by caller. "round-robin" and "least-outstanding" order
// queues by arrival; they are the baselines that it is measured against.
package policy
