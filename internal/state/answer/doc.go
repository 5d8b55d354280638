// Package answer stores answers in append-only files in one folder, with an
// in-memory index.
//
// A single goroutine appends. It collects all pending store requests, writes
// them together, syncs the file once and then acknowledges them. The first
// answer stored for a caller and request id is kept; later ones are ignored. At
// start the index is rebuilt from the files. A record that a crash truncated was
// never acknowledged and is skipped. A file is removed once all its answers have
// expired.
package answer
