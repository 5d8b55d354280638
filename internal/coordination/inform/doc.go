// Package inform keeps a copy of all objects of one kind of the platform.
//
// An informer lists the kind and then watches it from the version of the list.
// When the watch ends for any reason, it lists again. The copy never goes back
// to an older state: an object is replaced by newer versions only.
package inform
