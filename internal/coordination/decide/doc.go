// Package decide defines the decisions that package place returns for a call:
// dispatch it to a backend server, cancel an attempt, or reject the call.
package decide
