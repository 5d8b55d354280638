// Package oapi holds the server and the client that ogen generates from
// openapi.yaml, the HTTP API for callers and operators.
package oapi

//go:generate ogen --target . --package oapi --clean --config ogen.yml openapi.yaml
