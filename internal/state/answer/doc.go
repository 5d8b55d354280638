// Package answer keeps stored answers in append-only files of one folder, with
// an index in memory.
//
// One task appends. It takes all stores that wait, writes them together, syncs
// the file once and then acknowledges them. The first answer stored for a
// caller and request id stays. At start the index is rebuilt from the files; a
// record that was cut off by a crash was never acknowledged and is skipped. A
// file is removed when its last answer has expired.
package answer
