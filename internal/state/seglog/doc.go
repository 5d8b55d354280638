// Package seglog keeps immutable segments as files in one data folder.
//
// A segment is written to a temporary file, which is synced and renamed, so
// that a file with a segment's name is always complete. After the bytes of the
// segment the file holds a CRC-32C of each block, the SHA-256 of the whole and
// a fixed footer. Each read checks the blocks that it touches; a file that
// fails a check is set aside under another name and counts as missing.
//
// The folder is the only index: nothing is kept in memory, and a process that
// starts finds what earlier ones stored.
package seglog
