// Package paths tells a front that has lost its paths to all backend servers from
// backend servers that are lost.
//
// All connections to backend servers go through its Monitor. It grows suspicious
// when no connection can be made to several servers in a row, or when several
// servers owe an answer and none has sent a byte for longer than a sound server
// is silent. Then it connects to some servers itself: only if none of them can be
// reached, the paths count as lost. While they do, it goes on with that, until the
// servers can be reached again.
package paths
