// Package usage reports the error that a command ended with and maps it to an
// exit status.
package usage
