// Package policy implements the policies by which a scheduler chooses backend
// servers and orders its queues.
//
// "fair" is the policy for production: prefix affinity with bounded load, and
// queues that are fair between callers. "round-robin" and "least-outstanding"
// queue by arrival and serve as baselines for measurements.
package policy
