// Package gossip exchanges the loads of fronts by datagrams.
//
// A datagram holds the complete state of its sender, so the next one makes up
// for a lost one. Datagrams are sent shortly after a change and at a fixed
// heartbeat interval, by which fronts also detect failures of the others.
package gossip
