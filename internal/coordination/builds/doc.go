// Package builds knows which software versions of a service may have begun streams
// that can still go on. A front that has just started, while no other remembers a
// stream, can resume it only if there is no more than one.
//
// The versions of a service are kept in an object of the platform, which is
// written before a front prefers servers of a new version for such streams. So it
// names each version that served, also when its servers have left and all fronts
// were lost at once. A version that has had no server for long is taken out.
package builds
