// Package usage turns the error that ends a command line into an exit status.
package usage
