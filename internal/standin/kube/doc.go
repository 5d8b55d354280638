// Package kube is a stand-in for the platform: a Kubernetes-style object API
// over HTTP with conditional updates, watches, rate limits and faults that are
// injected through a control endpoint.
//
// One goroutine owns the objects, so that all changes are totally ordered and
// numbered by one increasing version. Objects are held in memory only.
//
// The kind "hosts" is the platform's own list of backend servers. It is
// read-only in the object API. PUT and DELETE on /control/hosts/<name> change
// it, and a change becomes visible after a lag, as on a real platform.
package kube
