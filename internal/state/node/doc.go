// Package node loads and checks the settings file of a bulrushd process.
package node
