// Package roster lists the registered fronts and their peer addresses, and
// elects those that watch the platform for the others.
//
// If every front of a large fleet watched the platform, each change would cost
// one call per front. A restart of all fronts, each of which changes the list of
// fronts, would cost a number of calls that grows with the square of theirs.
package roster
