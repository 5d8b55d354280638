// Package jobrpc calls the front that runs a batch job: it tells that the job has
// changed, and asks for its results. The platform tells both too, only later or
// at a price.
package jobrpc
