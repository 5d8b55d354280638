// Package kube is a stand-in of the platform: a Kubernetes-style object API
// over HTTP with conditional updates, watches, a call budget and faults that
// are switched on through a control endpoint.
//
// One task owns the objects, so every change has a place in one order and one
// increasing version. Objects are in memory only and end with the process.
//
// The kind "hosts" is the platform's own list of backend servers. The API only
// reads it; PUT and DELETE on /control/hosts/<name> change it, and a change is
// visible after a lag, as on a real platform.
package kube
