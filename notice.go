package trail

// ServerNotice is what a backend server says of itself with a response, whatever
// the response's status. It is immutable.
type ServerNotice struct {
	born              int64
	leaving           bool
	requestsPerSecond float64
}

// NewServerNotice returns a notice of the process that was started at born, in Unix
// milliseconds; 0 if that is not known. leaving says that the backend server is about
// to stop; requestsPerSecond is the rate of requests that it takes from all hosts
// together, 0 for no limit.
func NewServerNotice(born int64, leaving bool, requestsPerSecond float64) ServerNotice {
	return ServerNotice{born: born, leaving: leaving, requestsPerSecond: requestsPerSecond}
}

// Born returns the start of the process in Unix milliseconds, or 0 if that is not
// known.
func (n ServerNotice) Born() int64 { return n.born }

// Leaving returns whether the backend server is about to stop and takes no new
// requests.
func (n ServerNotice) Leaving() bool { return n.leaving }

// RequestsPerSecond returns the rate of requests that the backend server takes
// from all hosts together, 0 for no limit.
func (n ServerNotice) RequestsPerSecond() float64 { return n.requestsPerSecond }
