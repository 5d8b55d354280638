// Package object defines the object that the platform stores: a kind, a name, a
// JSON value and the version by which the platform orders changes.
package object
