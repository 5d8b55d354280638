// Package fanout lets a few fronts of a data centre watch the platform for the
// others.
//
// A front that does not watch follows one that does: it opens a stream on the
// mesh, gets the whole copy of a kind and then its changes. A stream that ends
// or falls silent is replaced by one of another watcher, or by a watch of the
// platform while no watcher answers. Each new source begins with a list of the
// platform, so that a change that the old one has not told is not missed, and a
// source that is behind can't bring back what the list lacks.
package fanout
