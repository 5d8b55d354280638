// Package memnet is an in-memory network for tests in synctest bubbles. A goroutine
// that is blocked on a real socket would keep the fake clock from advancing.
package memnet
