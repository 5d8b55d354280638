// Package wire holds the protobuf messages that the processes of bulrushtrail
// exchange and the values of the platform objects that they keep.
//
// Messages use the opaque API: fields are reached through accessors and built
// with the _builder types. Platform values are encoded by protojson with
// kebab-case names.
package wire

//go:generate buf generate
