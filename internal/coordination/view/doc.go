// Package view maintains the local copy that each process has of the shared
// state on the platform: the configuration, the members, the backend servers
// and the requests that are rejected because they crashed backend servers.
//
// Two schedulers of each data centre watch the platform. The other processes
// of the data centre subscribe to one of them, so that the number of open
// watches does not grow with the fleet. A process that reaches neither watches
// the platform itself. A process that starts while the platform is down gets
// the latest state from the peers in its settings.
//
// Each part of the view has a version from the platform, and a part is replaced
// only by one with a higher version. The configuration therefore never reverts,
// in whatever order the sources answer.
package view
