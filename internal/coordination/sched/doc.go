// Package sched is the scheduler role's task for calls.
//
// One goroutine, the task, owns the place module and carries out its
// decisions. Each call has a goroutine of its own, the exchange, which passes
// the answer on to the requester and is the only one that knows how much of it
// was passed on. An attempt's replies are read by a third goroutine, so that a
// silent backend server can't delay the cancellation of an attempt. They
// communicate by messages: events go to the task, orders to the exchange,
// replies to the exchange.
//
// Before an attempt passes on its first reply data, and before it passes on the
// end, the exchange asks the task whether the attempt is still in flight. So no
// data of an attempt that the task has cancelled reaches the requester.
package sched
