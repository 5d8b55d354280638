// Package node reads the settings of one process.
package node
