// Package resume knows which build of a service has begun each stream that may be
// resumed, since a stream may only go on at the build that began it.
//
// A front records a stream before it relays its first event, and tells the others
// with its datagrams. A caller may take up its stream at any front: one that does
// not know the stream asks others, one of each data centre. If none knows it, as
// after a loss of all fronts, the stream goes on only if its service has had a
// single build for as long as streams last.
package resume
