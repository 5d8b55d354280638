package trail

import (
	"context"
	"net/http"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Upstream sends attempts of requests to backend servers.
type Upstream interface {
	// Send sends the request and returns once the response headers have been
	// received. A stream is requested from the event after lastEventID, or from
	// its start if that is empty. The verdict of an error says whether the
	// request may have run; it is NotRun if the backend server rejected the
	// request. Cancelling ctx ends the attempt, also while the body is being
	// read. The caller closes the body.
	//
	// A stream after lastEventID is requested only from the process that the
	// server's entry describes, as far as servers name their processes.
	Send(ctx context.Context, server *wire.BackendServer, request *Request, lastEventID string) (*Response, error)
}

// UnknownProcess stands for the start of a process that was asked for it and has not
// told it.
const UnknownProcess = -1

// Response is the response of a backend server to one attempt.
type Response struct {
	*http.Response
	born     int64
	exchange Exchange
}

// NewResponse returns a response of the process that was started at born, in Unix
// milliseconds; UnknownProcess, or 0 if the process was not asked.
func NewResponse(response *http.Response, born int64) *Response {
	return &Response{Response: response, born: born}
}

// WithExchange returns a copy of the response that stands at a place on its connection.
func (r *Response) WithExchange(exchange Exchange) *Response {
	c := *r
	c.exchange = exchange
	return &c
}

// Exchange returns where the response stands on its connection, zero if it came through
// another front.
func (r *Response) Exchange() Exchange { return r.exchange }

// Born returns the start of the process that sends the response, by its own word, in
// Unix milliseconds. It may be another process than the one that the server's entry
// describes. Born returns UnknownProcess if that is not known, and 0 if the server was
// not asked, since servers of its kind do not tell.
func (r *Response) Born() int64 { return r.born }

// Destination is the process to which a request is sent.
type Destination struct {
	// IP address and port.
	address string
	probe   ProcessProbe
	// Start of the process in Unix milliseconds, 0 for any.
	born int64
}

// NewDestination returns the destination that any process at an address is. Each new
// connection to it is asked for its process with probe, unless that is nil.
func NewDestination(address string, probe ProcessProbe) Destination {
	return Destination{address: address, probe: probe}
}

// WithBorn returns the destination that only the process is which was started at born,
// in Unix milliseconds.
func (d Destination) WithBorn(born int64) Destination {
	d.born = born
	return d
}

// Address returns IP address and port.
func (d Destination) Address() string { return d.address }

// Probe returns how a new connection is asked for its process, nil for not at all.
func (d Destination) Probe() ProcessProbe { return d.probe }

// IsAny reports whether any process is the destination.
func (d Destination) IsAny() bool { return d.born == 0 }

// Accepts reports whether a process is the destination. born is its start in Unix
// milliseconds, not positive if it is not known.
func (d Destination) Accepts(born int64) bool { return d.born == 0 || born == d.born }

// ProcessProbe asks a backend server which process it is.
type ProcessProbe interface {
	// Request returns the target of the question, and its request without a body.
	Request() (target string, request *http.Request)
	// Born returns the start of the process in Unix milliseconds by the status and
	// the body of its response, or an error if the response does not tell.
	Born(status int, body []byte) (int64, error)
}

// Request is one attempt of a caller's request, or one item of a batch job, that
// is to be sent to a backend server. It is immutable.
type Request struct {
	// Unique for each attempt of a caller.
	id     string
	method string
	// Path and query as received from the caller.
	target string
	host   string
	// Without hop-by-hop headers.
	header http.Header
	// Complete body; nil for none.
	body []byte
	// Zero for an item of a batch job.
	deadline time.Time
	// Prompt tokens plus the maximum number of output tokens, 0 if unknown.
	tokens int64
	// Ids of the parts of the prompt that other requests may share, in order.
	sharedParts []string
	// Set if the caller takes up a stream that has broken off: the id of the
	// attempt that brought its first event, and of the last event received.
	resumedAttempt string
	lastEventID    string
	// Name of the caller's team, empty for none.
	team string
}

// NewRequest returns a request without a deadline.
func NewRequest(id, method, target, host string, header http.Header, body []byte) *Request {
	return &Request{id: id, method: method, target: target, host: host, header: header, body: body}
}

// WithDeadline returns a copy of the request with the time at which the caller
// stops waiting.
func (r *Request) WithDeadline(deadline time.Time) *Request {
	q := *r
	q.deadline = deadline
	return &q
}

// WithTeam returns a copy of a request of a team of callers.
func (r *Request) WithTeam(name string) *Request {
	q := *r
	q.team = name
	return &q
}

// Team returns the name of the caller's team, or the empty string if it has none.
func (r *Request) Team() string { return r.team }

// ID returns the attempt's id.
func (r *Request) ID() string { return r.id }

// Method returns the HTTP method.
func (r *Request) Method() string { return r.method }

// Target returns the path and query as received from the caller.
func (r *Request) Target() string { return r.target }

// Host returns the Host header.
func (r *Request) Host() string { return r.host }

// Header returns the end-to-end headers, which must not be modified.
func (r *Request) Header() http.Header { return r.header }

// Body returns the complete body, which must not be modified.
func (r *Request) Body() []byte { return r.body }

// Deadline returns the time at which the caller stops waiting, or zero if there
// is none.
func (r *Request) Deadline() time.Time { return r.deadline }

// WithTokens returns a copy with the size of the request: its prompt tokens plus the
// maximum number of output tokens.
func (r *Request) WithTokens(tokens int64) *Request {
	q := *r
	q.tokens = tokens
	return &q
}

// Tokens returns the prompt tokens plus the maximum number of output tokens, 0 if
// unknown.
func (r *Request) Tokens() int64 { return r.tokens }

// WithSharedParts returns a copy with the ids of the parts of the prompt that
// other requests may share, in the order of the prompt.
func (r *Request) WithSharedParts(ids []string) *Request {
	q := *r
	q.sharedParts = ids
	return &q
}

// SharedParts returns the ids of the parts of the prompt that other requests may
// share, in the order of the prompt. It is empty for a request without a prompt.
// The result must not be modified.
func (r *Request) SharedParts() []string { return r.sharedParts }

// WithResumption returns a copy that takes up a stream of which the caller has
// received the events up to the one with an id. attempt is the id of the caller's
// attempt that brought its first event, empty if unknown.
func (r *Request) WithResumption(attempt, lastEventID string) *Request {
	q := *r
	q.resumedAttempt = attempt
	q.lastEventID = lastEventID
	return &q
}

// ResumedAttempt returns the id of the attempt that brought the first event of the
// stream that the request takes up, or the empty string.
func (r *Request) ResumedAttempt() string { return r.resumedAttempt }

// LastEventID returns the id of the event after which the request takes up a
// stream, or the empty string if the request is for a whole answer.
func (r *Request) LastEventID() string { return r.lastEventID }

// PeerJobs gives access to the batch jobs that other fronts run.
type PeerJobs interface {
	// Notify reports a changed object of a job to a front, and returns nil once
	// the front has applied it. The verdict of an error is MayHaveRun if the
	// front may have received the notice.
	Notify(ctx context.Context, front string, notice *wire.JobNotice) error
	// Results returns the listed results of a job from position after on, as
	// known to the front. If there are none yet, the front waits up to wait for
	// one. complete is true if there can be no others.
	Results(ctx context.Context, front, job string, after int, wait time.Duration) (results []*wire.BatchResult, complete bool, err error)
}

// WorkSharer connects the batch jobs of this front to the heartbeat datagrams: it
// supplies the values that they publish, and is notified of what the heartbeats
// of other fronts report.
type WorkSharer interface {
	// ReleaseCount returns how often this front has released work for other
	// fronts to find and take over.
	ReleaseCount() uint32
	// TriggerReconcile is called when another front has released work.
	TriggerReconcile()
	// HandlePeerLost is called with the other fronts whose heartbeats have timed
	// out.
	HandlePeerLost(fronts []string)
	// TriggerDispatch is called when the load of another front has changed.
	TriggerDispatch()
	// QuotaNearLimit reports whether this front has recently found the quota of
	// waiting tokens of a route nearly used up.
	QuotaNearLimit() bool
	// MarkPeerQuotaNearLimit is called while another front reports this.
	MarkPeerQuotaNearLimit()
}

// JobStates reports which batch jobs still have items without a result.
type JobStates interface {
	// States returns by id whether a job is open, for all jobs in a listing that
	// may be seconds old. A job that has ended never becomes open again.
	States(ctx context.Context) (map[string]bool, error)
}
