// Package inform keeps a copy of all objects of one kind of the platform.
//
// An informer lists the kind and then watches it from the version of the list.
// When the watch ends for any reason, it lists again. What it holds is never
// older than what it has held before: an object is replaced by newer versions
// only.
package inform
