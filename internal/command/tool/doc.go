// Package tool is the command line of bulrushtrail: one subcommand for each
// role of the system and one for each task of an operator.
package tool
