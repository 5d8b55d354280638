// Package relay calls the platform's object store through another front while
// the platform does not answer this one.
//
// It covers outages that affect some hosts only. A call that has certainly not
// run at the platform is made by a front that the platform answers. A write
// whose response was lost may have run, so it is not retried here: its caller
// reads the object back to find out.
package relay
