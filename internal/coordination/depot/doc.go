// Package depot implements the depot role, which stores segments and answers in
// the data folder of its host.
//
// A segment or an answer is acknowledged when it is on disk here and, if the
// request names a second depot, also there. The reply to a failed write lists
// the copies that exist.
//
// A running request is registered in memory for the attempt that executes it.
// The registration ends with the stream that created it, when the answer is
// stored, or when the stream has not renewed it for 60 s. It only avoids a
// second execution: the first stored answer is kept regardless of registrations.
//
// When another depot has been absent from the members for 60 s, or has had a new
// incarnation for 60 s, this depot checks that each of its segments and stored
// answers has a copy at another depot: in another data centre, or at any depot
// if there is only one data centre. Data without a second copy is copied to the
// first such depot in rendezvous order of the segment id, or of caller and
// request id. The locations of second copies are not recorded, so each check
// queries the other depots for all local data. A depot also runs the check after
// its own start, and retries a check that failed.
package depot
