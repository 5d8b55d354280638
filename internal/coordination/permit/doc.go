// Package permit keeps the limits on the rate of requests that backend servers
// name in their answers.
//
// A limit holds for all fronts together, so for each backend server with one, a
// single front counts: the first in rendezvous order among the live fronts of the
// server's data centre. Right before a request is sent to that server, whatever
// it is for, the sending front asks the counting one for a permit. Without one
// the request is not sent, and the sending front does not use the server until the
// time in the reply.
//
// The count is lost with its front. The next one starts without a burst, and a
// front that has just started grants nothing, since the others may still ask the
// previous one. A front without a connection to the counting one gets no permits
// until the fleet presumes that one dead.
package permit
