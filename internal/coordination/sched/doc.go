// Package sched runs the calls of the scheduler role.
//
// A single goroutine, the task, owns the place.Placer and carries out its
// decisions. Each call has its own goroutine, the exchange, which sends the
// answer to the requester and is the only one that knows how much of it was
// sent. The replies of an attempt are read by a third goroutine, so that a
// silent backend server cannot delay the cancellation of the attempt. The
// goroutines communicate by messages: events go to the task, orders and replies
// go to the exchange.
//
// Before the exchange sends the first reply data of an attempt, and again
// before it sends the end of the answer, it asks the task whether the attempt
// is still in flight. Data of a cancelled attempt therefore never reaches the
// requester.
package sched
