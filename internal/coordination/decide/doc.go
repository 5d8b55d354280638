// Package decide holds the decisions of the place module: to dispatch a call,
// to cancel an attempt, and to end a call without an answer.
package decide
