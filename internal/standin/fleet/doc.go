// Package fleet starts a whole deployment on loopback addresses: the platform,
// model engines, plain services, and the system's own processes, each a real
// process with an IP address of its own.
//
// Tests and the demo use it to kill, freeze and restart processes. No process
// of the system starts another one.
package fleet
