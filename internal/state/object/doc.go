// Package object holds one object of the platform: a kind, a name, a value and
// the version by which the platform orders its changes.
package object
