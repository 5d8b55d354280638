// Package tool implements the command line of bulrushtrail, with one subcommand
// for each role of the system and one for each operator task.
package tool
