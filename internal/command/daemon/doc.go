// Package daemon is the command line of bulrushd, the program that runs on the
// users' platform.
package daemon
