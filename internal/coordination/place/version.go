package place

import "slices"

// recordData records that the first reply data of an attempt was sent.
func (k *call) recordData(attempt *attempt) {
	k.dataSent = true
	if !slices.Contains(k.processes, attempt.process) {
		k.processes = append(k.processes, attempt.process)
	}
}

// boundToVersion returns whether only some of the backend servers may continue the
// answer to a call.
func (v *service) boundToVersion(call *call) bool {
	return slices.ContainsFunc(v.servers, func(s *server) bool { return !v.mayContinue(call, s.process) })
}

// mayContinue returns whether a process may continue the answer to a call: it is the
// one that began it, it certainly has the software version that began it, or no
// backend server of the service names a version.
func (v *service) mayContinue(call *call, continuing *process) bool {
	if !call.dataSent || continuing.startUnixMs > 0 && slices.Equal(call.processes, []*process{continuing}) {
		return true
	}
	l := append([]*process{continuing}, call.processes...)
	if slices.ContainsFunc(l, func(p *process) bool { return p.version != continuing.version }) {
		return false
	}
	if continuing.version == "" {
		return !slices.ContainsFunc(v.servers, func(s *server) bool { return s.version != "" })
	}
	return !slices.ContainsFunc(l, func(p *process) bool { return p.uncertain })
}
