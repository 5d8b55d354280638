// Package demo sends example requests and a batch job to a running deployment,
// through a client library that callers commonly use, and checks the answers.
package demo
