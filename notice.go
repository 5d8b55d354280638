package trail

// ServerNotice is what a backend server says of itself with a response, whatever
// the response's status. It is immutable.
type ServerNotice struct {
	leaving           bool
	requestsPerSecond float64
}

// NewServerNotice returns a notice. leaving says that the backend server is about
// to stop; requestsPerSecond is the rate of requests that it takes from all hosts
// together, 0 for no limit.
func NewServerNotice(leaving bool, requestsPerSecond float64) ServerNotice {
	return ServerNotice{leaving: leaving, requestsPerSecond: requestsPerSecond}
}

// Leaving returns whether the backend server is about to stop and takes no new
// requests.
func (n ServerNotice) Leaving() bool { return n.leaving }

// RequestsPerSecond returns the rate of requests that the backend server takes
// from all hosts together, 0 for no limit.
func (n ServerNotice) RequestsPerSecond() float64 { return n.requestsPerSecond }
