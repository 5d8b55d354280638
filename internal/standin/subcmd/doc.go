// Package subcmd implements the command line of standin, with a subcommand for
// each stand-in and test tool.
package subcmd
