// Package jobrpc carries calls about batch jobs between fronts, as streams of
// the mesh: notices that a job has changed, and queries for the results of a
// job that another front runs. Without them a front would learn of both only
// from the platform, later and at the price of platform calls.
package jobrpc
