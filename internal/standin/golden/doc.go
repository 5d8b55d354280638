// Package golden runs golden-file tests, which compare the transcripts of test
// sessions with txtar archives.
//
// The comment of an archive describes the failure that the session guards
// against. Its last file is the expected transcript, which the flag -update
// overwrites with the actual one.
package golden
