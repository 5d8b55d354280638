// Package subcmd is the command line of the stand-ins: one subcommand for each
// of them.
package subcmd
