// Package rules looks up the route of a request in a version of the
// configuration.
package rules
