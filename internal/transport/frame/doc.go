// Package frame sends and receives protobuf messages on one stream, each with
// its length before it as a varint.
//
// A stream has one sender and one receiver at a time in each direction. Closing
// it ends the sending direction; the other side then reads io.EOF.
package frame
