//go:build review

// Command standin plays one case of the review: it starts the fronts as separate
// processes, with stand-ins for the platform, the backend servers and the callers,
// brings the disruption about, and checks one rule.
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case
// could not be played. With TROUBLE=0 in the environment the disruption is left out.
package main
