// Package spec reads the services text, in which operators list each service
// and what it depends on.
//
// A text is accepted whole or rejected whole. A rejected one comes back with
// every fault, each at its JSON pointer, so that one edit can fix them all.
package spec
