// Package answer keeps the answers of questions at the depots.
//
// The depots are ranked for each caller and request id by rendezvous hashing.
// The first one serialises the attempts of a question. An answer is stored at
// the first one, which sends a copy to the next one in another data centre.
// Reads ask these two, and then all others, because the ranking may have
// changed since the answer was stored.
//
// A registration lives as long as this process holds its stream open, until
// the answer is stored or the attempt is abandoned.
package answer
