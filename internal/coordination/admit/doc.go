// Package admit decides which online requests of a service are placed while more
// arrive than its backend servers can take.
//
// The load that it answers alternates within seconds between well below and above
// the capacity, and one team may send many times its usual share. Then all requests
// can't be served on time, and who is refused should not be left to chance. Each
// request has a class: the most urgent requests, and those of teams that use no more
// than their fair share, may use every place; the others leave some places free, so
// that the next requests of the first class find one. A request that returns after
// a refusal moves up a class, since its caller does not retry once more.
//
// A Demand opens no socket and keeps no state. Package fleet, which counts the
// places, asks it.
package admit
