// Package roster tells which fronts there are, where they are reached, and
// which of them watch the platform for the others.
//
// The load that this answers: in a fleet in which each front watches the
// platform, each change costs a call of every front, and a restart of all
// fronts, which changes the list of fronts for each, costs the square of their
// number.
package roster
