package fleet

// memory is the memory of one process of a backend server.
type memory struct {
	// Tokens of the largest request that the process can take, 0 if unknown.
	tokens int64
	// Start of the process that has reported it, in Unix milliseconds.
	born int64
}

// memoryRange is the memory of the servers of a service.
type memoryRange struct {
	// Least known memory in tokens, 0 if none is known.
	least int64
	// Greatest memory of the servers that are not about to stop, 0 if that of one of
	// them is unknown or there are none.
	greatest int64
}

// RecordMemory records the memory in tokens that a process of a backend server has
// reported, 0 if it is unknown. born is the start of the process in Unix milliseconds.
func (f *Fleet) RecordMemory(id string, born, tokens int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil {
		return
	}
	s.memory = memory{tokens: max(tokens, 0), born: born}
	f.service(s.entry.GetService()).updateMemory()
}

// updateMemory updates the memory range after a change of a server.
func (v *service) updateMemory() {
	v.memory = memoryRange{}
	u := false
	for _, s := range v.servers {
		n := s.memory.tokens
		if n > 0 && (v.memory.least == 0 || n < v.memory.least) {
			v.memory.least = n
		}
		if !s.departing() {
			v.memory.greatest = max(v.memory.greatest, n)
			u = u || n == 0
		}
	}
	if u {
		v.memory.greatest = 0
	}
}

// LeastMemory returns the least known memory of the backend servers of a service in
// tokens, 0 if none is known.
func (f *Fleet) LeastMemory(serviceName string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.services[serviceName]
	if v == nil {
		return 0
	}
	return v.memory.least
}

// NoneHolds reports whether a service has backend servers that are not about to stop,
// and all of these lack the memory for a request. A server whose memory is unknown
// can't be ruled out.
func (f *Fleet) NoneHolds(serviceName string, tokens int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.services[serviceName]
	return v != nil && v.memory.greatest > 0 && tokens > v.memory.greatest
}

// TooSmall returns the ids of the backend servers of a service that lack the memory for
// a request.
func (f *Fleet) TooSmall(serviceName string, tokens int64) map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.services[serviceName]
	if v == nil || v.memory.least == 0 || tokens <= v.memory.least {
		return nil
	}
	m := map[string]bool{}
	for _, s := range v.servers {
		if s.memory.tokens > 0 && tokens > s.memory.tokens {
			m[s.entry.GetId()] = true
		}
	}
	return m
}
