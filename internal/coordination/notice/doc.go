// Package notice tells the front that runs a batch job that another front has
// changed it. The platform tells it too, only later.
package notice
