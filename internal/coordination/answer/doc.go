// Package answer is the client of entries for answers that are stored at the
// depots.
//
// The depots are ranked for each caller and request id by rendezvous hashing.
// The first one serialises the attempts of a request. It also stores the answer,
// and sends a copy to the next one in another data centre. Reads query these
// two, and then all others, because the ranking may have changed since the
// answer was stored.
//
// The registration of an attempt exists as long as this process keeps its stream
// to the depot open: until the answer is stored or the attempt is abandoned.
package answer
