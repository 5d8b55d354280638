// Package gossip exchanges the loads of fronts by datagrams.
//
// A datagram holds the whole state of its sender, so a lost one is repaired by
// the next. They are sent shortly after a change and at a fixed interval, by
// which the fronts also know that the others live.
package gossip
