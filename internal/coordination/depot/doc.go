// Package depot is the depot role: it keeps segments and stored answers in the
// data folder of its host.
//
// A segment or an answer is acknowledged when it is on disk here and, when the
// request names a second depot, there too. A reply to a failed write says which
// copies exist.
//
// A question that runs is registered in memory for the attempt that runs it.
// The registration ends with the stream that made it, with the answer, or when
// the stream has not renewed it for 60 s. It only saves a second run of the
// question: the first stored answer stays whatever the registrations say.
//
// When another depot has not been a member, or has had a new incarnation, for
// 60 s, the depot checks that all its segments and stored answers have a copy at
// another depot: in another data centre, or at any when there is only one. What
// has none is copied to the first such depot in rendezvous order of the segment
// id, or of caller and request id. It is not recorded where the second copies
// are, so each check asks the other depots for everything that is here. A depot
// also makes the check after its own start, and repeats one that failed.
package depot
