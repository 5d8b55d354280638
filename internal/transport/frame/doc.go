// Package frame sends and receives length-delimited protobuf messages: each
// message is preceded by its size as a varint.
//
// A stream supports one concurrent sender and one concurrent receiver. Close
// half-closes a yamux stream: the other side reads io.EOF after the messages
// already sent.
package frame
