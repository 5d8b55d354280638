package build

import "bulrushtrail.example/trail/internal/protocol/wire"

// Build is a version of the software of one service. The zero value is none.
type Build struct {
	service string
	// Empty if unknown.
	version string
}

// New returns the build of a service with a version, empty if unknown.
func New(service, version string) Build { return Build{service: service, version: version} }

// Of returns the build that a backend server runs according to its entry.
func Of(entry *wire.BackendServer) Build { return New(entry.GetService(), entry.GetVersion()) }

// Service returns the name of the service.
func (b Build) Service() string { return b.service }

// Version returns the version, empty if unknown.
func (b Build) Version() string { return b.version }

// IsZero reports whether b is no build.
func (b Build) IsZero() bool { return b == Build{} }

// Known reports whether the version is known.
func (b Build) Known() bool { return b.version != "" }

// RunsOn reports whether a backend server runs this build according to its entry.
func (b Build) RunsOn(entry *wire.BackendServer) bool { return b == Of(entry) }
