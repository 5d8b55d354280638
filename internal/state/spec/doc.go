// Package spec parses and validates the services text, in which operators list
// each service and its dependencies.
//
// A text with any fault is rejected as a whole. The error reports every fault
// with its JSON pointer, so that the operator can fix all of them in one edit.
package spec
