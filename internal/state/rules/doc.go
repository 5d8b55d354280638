// Package rules finds the route of a request in the configuration in force.
package rules
