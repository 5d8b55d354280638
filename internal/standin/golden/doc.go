// Package golden runs tests that compare whole sessions with txtar files.
//
// A file begins with a comment that names the failure that the session guards
// against. Its last part is the expected transcript, which the flag -update
// writes.
package golden
