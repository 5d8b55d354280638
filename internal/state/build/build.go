package build

import "bulrushtrail.example/trail/internal/protocol/wire"

// Build is a version of the software of one service. The zero value is none.
type Build struct {
	service string
	// Empty if the backend servers name none, or if it is unknown.
	version string
	unknown bool
}

// New returns the build of a service with a version, empty if the backend servers
// name none.
func New(service, version string) Build { return Build{service: service, version: version} }

// Unknown returns the build of a service of which nobody knows the version.
func Unknown(service string) Build { return Build{service: service, unknown: true} }

// Of returns the build that a backend server runs according to its entry.
func Of(entry *wire.BackendServer) Build { return New(entry.GetService(), entry.GetVersion()) }

// Service returns the name of the service.
func (b Build) Service() string { return b.service }

// Version returns the version, empty if it is unknown or none is named.
func (b Build) Version() string { return b.version }

// IsZero reports whether b is no build.
func (b Build) IsZero() bool { return b == Build{} }

// IsNamed reports whether the version is known and not empty.
func (b Build) IsNamed() bool { return b.version != "" }

// IsUnknown reports whether nobody knows the version.
func (b Build) IsUnknown() bool { return b.unknown }

// RunsOn reports whether a backend server runs this build according to its entry.
func (b Build) RunsOn(entry *wire.BackendServer) bool { return b == Of(entry) }
