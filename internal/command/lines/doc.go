// Package lines implements a rate-limited writer of log lines that never blocks
// its callers.
package lines
