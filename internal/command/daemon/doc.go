// Package daemon implements the command line of bulrushd, the program that runs
// the front and disk roles on the users' platform.
package daemon
