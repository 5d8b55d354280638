// Package view keeps what the platform has agreed, as one process knows it:
// the configuration, the members, the backend servers and the rejected
// requests.
//
// Two schedulers of each data centre watch the platform. The other processes
// of the data centre subscribe to one of them, so that the number of waiting
// watches does not grow with the fleet. A process that reaches neither watches
// the platform itself; one that starts while the platform is down learns the
// newest state from the peers in its settings.
//
// Every part of the view carries the platform's version, and a part is only
// replaced by a newer one. So the configuration never reverts, whatever order
// the sources answer in.
package view
