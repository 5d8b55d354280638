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
package depot
