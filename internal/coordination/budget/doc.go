// Package budget decides what a process may hold for its clients: how many connections,
// and how many bytes for them together.
//
// A claim belongs to one connection. Its bytes are taken before they are allocated. When
// room runs out, the connection whose client the process has waited for longest is closed,
// if that is longer than the stall time; otherwise the claim is refused. Large claims leave
// a share of the bytes to small ones, so that a crowd with large bodies does not keep out
// ordinary requests.
//
// A Budget has no task of its own and opens no socket.
package budget
