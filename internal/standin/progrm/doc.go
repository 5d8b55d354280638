// Package progrm is the command line of the program that runs the stand-ins
// and the load tool.
package progrm
