// Package valid checks the parts of an HTTP request that callers supply, so that what
// is written to a connection is the one request that they mean. A line break in a
// path, or a header that frames the body, would begin another one.
package valid
