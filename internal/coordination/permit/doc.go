// Package permit keeps the limits on the rate of requests that backend servers
// name in their answers.
//
// A limit holds for all fronts together, so for each backend server with one, a
// single front counts: the first in rendezvous order among the live fronts of the
// server's data centre. Right before a request is sent to that server, whatever
// it is for, the sending front asks the counting one for a permit. Without one
// the request is not sent, and the server is left alone until the time that the
// counting front has told.
//
// A counting front that ends takes its count with it; the next one begins with an
// empty count, and grants nothing while it has just started, since the others may
// still ask the one before. A front that is cut off from the counting one gets no
// permits until the fleet presumes that one dead.
package permit
