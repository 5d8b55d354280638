//go:build review3

// Command standin plays the cases of the third review against real processes of the
// program: it starts a platform store, backend servers and callers as stand-ins, starts
// the fronts with the command of the deploy file, and checks one rule by what the callers
// and the backend servers have seen.
package main
