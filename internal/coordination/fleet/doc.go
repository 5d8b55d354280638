// Package fleet selects the backend server that runs a request.
//
// It counts the requests in flight at each backend server: those of this front
// and those that other fronts report in their datagrams. Online requests take
// free slots first, then slots of batch items, which are preempted, and then
// places in a backend server's own queue as long as their first event can still
// be on time; beyond that they are refused at once. Batch items take free slots
// only, and are preempted when a backend server has more requests than slots.
//
// It is designed for bursts of online requests that last for two to three
// seconds at twice the mean rate, with batch work that fills every slot between
// them.
package fleet
