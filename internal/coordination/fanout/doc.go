// Package fanout lets a few fronts of a data centre watch the platform for the
// others.
//
// A front that does not watch follows one that does: it opens a stream on the
// mesh and receives the whole copy of a kind and then its changes. When a stream
// ends or times out, the front follows another watcher, or watches the platform
// itself while no watcher answers. After each change of the source the kind is
// listed at the platform first, so that no change is lost that the old source
// had not sent, and a stale source can't restore objects that the list lacks.
package fanout
