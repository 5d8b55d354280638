// Package progrm is the command line of the stand-ins: one subcommand for each
// of them.
package progrm
