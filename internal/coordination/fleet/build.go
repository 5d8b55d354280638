package fleet

import (
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/build"
)

// Builds returns the builds of all known backend servers, also of those that are
// about to stop, each at least once.
func (f *Fleet) Builds() []build.Build {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := make([]build.Build, 0, len(f.servers))
	for _, s := range f.servers {
		l = append(l, build.Of(s.entry))
	}
	return l
}

// Serves reports whether a backend server of a build is known that is not about to
// stop, and whose entry describes its process as far as this front knows.
func (f *Fleet) Serves(b build.Build) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.service(b.Service()).servers {
		if !s.departing() && s.isListed() && b.RunsOn(s.entry) {
			return true
		}
	}
	return false
}

// HasServers reports whether a backend server of a service is known.
func (f *Fleet) HasServers(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.services[service]
	return v != nil && len(v.servers) > 0
}

// BuildOf returns the build that runs a request, where entry is the server's entry
// when the request was sent, and born the start of the process that answers as
// trail.Response tells it.
//
// The version is unknown if the registry does not name that process yet. It is also
// unknown if the process was not asked and the entry has another version now: either
// process may answer.
func (f *Fleet) BuildOf(entry *wire.BackendServer, born int64) build.Build {
	if born > 0 && born == entry.GetBorn() {
		return build.Of(entry)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[entry.GetId()]
	switch {
	case born > 0 && s != nil && s.entry.GetBorn() == born:
		return build.Of(s.entry)
	case born != 0, s != nil && !build.Of(entry).RunsOn(s.entry):
		return build.Unknown(entry.GetService())
	}
	return build.Of(entry)
}

// RecordProcess records which process of a backend server has answered a question, by
// its start in Unix milliseconds. While the registry names another one, nothing of it
// is believed of this process.
func (f *Fleet) RecordProcess(id string, born int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s != nil {
		s.born = born
		s.leaving = f.isMarkedLeaving(s)
		f.service(s.entry.GetService()).updateMemory()
	}
}

// isListed reports whether the server's entry describes its process, as far as this
// front knows.
func (s *server) isListed() bool {
	return s.born == 0 || s.entry.GetBorn() == 0 || s.born == s.entry.GetBorn()
}

// BuildOfProcess returns the build of a process of a backend server, by the hash of the
// server's id and the start of the process in Unix milliseconds. It returns false if
// the registry does not name that process.
func (f *Fleet) BuildOfProcess(server uint64, born int64) (build.Build, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.serversByHash[server]
	if s == nil || s.entry.GetBorn() != born {
		return build.Build{}, false
	}
	return build.Of(s.entry), true
}

// Unversioned reports whether no known backend server of a service names a version
// of its software.
func (f *Fleet) Unversioned(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.service(service).servers {
		if s.entry.GetVersion() != "" {
			return false
		}
	}
	return true
}
