package trail

// ServerNotice is what a backend server says of itself with a response, whatever
// the response's status. It is immutable.
type ServerNotice struct {
	leaving bool
}

// NewServerNotice returns a notice. leaving says that the backend server is about
// to stop.
func NewServerNotice(leaving bool) ServerNotice { return ServerNotice{leaving: leaving} }

// Leaving returns whether the backend server is about to stop and takes no new
// requests.
func (n ServerNotice) Leaving() bool { return n.leaving }
