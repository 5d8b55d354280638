package place

import "slices"

// recordData records that the first reply data of an attempt was sent.
func (k *call) recordData(attempt *attempt) {
	if !k.dataSent {
		k.dataSent = true
		k.version = attempt.version
	}
	k.checkVersion(attempt)
}

// checkVersion makes the version of the data unknown if the backend server of an
// attempt has started again with another version: either may have sent the data.
func (k *call) checkVersion(attempt *attempt) {
	if k.dataSent && attempt.version != attempt.server.version {
		k.version = ""
	}
}

// boundToVersion returns whether only some of the backend servers may continue the
// answer to a call.
func (v *service) boundToVersion(call *call) bool {
	return slices.ContainsFunc(v.servers, func(s *server) bool { return !v.mayContinue(call, s) })
}

// mayContinue returns whether a backend server may continue the answer to a call:
// it has the software version that began it, or no backend server of the service
// names a version.
func (v *service) mayContinue(call *call, continuing *server) bool {
	if !call.dataSent || continuing.version == call.version && call.version != "" {
		return true
	}
	return call.version == "" && !slices.ContainsFunc(v.servers, func(s *server) bool { return s.version != "" })
}
