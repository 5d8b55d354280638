// Package route chooses the scheduler for each call and retries a call at
// another scheduler when the chosen one refuses it or its connection is lost.
//
// The table ranks the schedulers that report backend servers for the service.
// Schedulers of the local data centre come first unless their expected wait is
// clearly longer. Among schedulers of one data centre, a call with a prefix
// goes to the first in the rendezvous order of the prefix whose load is within
// a bound, other calls to the one with the least expected wait. One goroutine
// owns the table, and a subscription per scheduler receives its load reports. A
// scheduler that does not answer is avoided until a new subscription to it
// delivers a report.
package route
