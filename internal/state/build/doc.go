// Package build identifies the software that backend servers run. A stream that
// one build has begun can only go on at a server of the same build.
package build
