// Package wire defines the protobuf messages that the processes of bulrushtrail
// exchange, and the values of the platform objects that they store.
//
// The messages use the opaque API: fields are read and set through accessors,
// and messages are built with the _builder types. Platform values are encoded
// as JSON by protojson, with kebab-case names.
package wire

//go:generate buf generate
