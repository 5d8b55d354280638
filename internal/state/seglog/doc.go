// Package seglog stores immutable segments as files in one data folder.
//
// A segment is written to a temporary file, synced and then renamed, so a file
// with a segment's name is always complete. The segment's data is followed by a
// trailer: a CRC-32C of each block, the SHA-256 of the data and a fixed-size
// footer. Each read verifies the blocks that it covers. A file that fails
// verification is renamed, and its segment counts as missing.
//
// The folder is the only index. Nothing is kept in memory, and a new process
// finds the segments that earlier processes stored.
package seglog
