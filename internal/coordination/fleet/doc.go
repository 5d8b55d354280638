// Package fleet decides which backend server runs a request.
//
// It counts the requests in flight at each backend server: those of this front
// and, as their datagrams tell, those of the other fronts. Online requests take
// free slots first, then slots that batch items must give up, and then places
// in a backend server's own queue as long as their first event can still be on
// time; beyond that they are refused at once. Batch items take free slots only
// and give them up when a backend server has more requests than slots.
//
// The load that this answers: bursts of two to three seconds at twice the mean,
// against batch work that fills every slot between them.
package fleet
