// Package relay calls the platform's object store through another front while
// the platform turns this one away.
//
// The load that this answers: an outage that some hosts see and others don't.
// A call that the platform has refused, and so has not carried out, is made by
// a front that the platform answers. A write whose answer was lost is not
// repeated here; its caller settles it by reading back.
package relay
