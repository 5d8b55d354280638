package trail

import (
	"context"
	"net/http"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Upstream runs one attempt of a request at a backend server.
type Upstream interface {
	// Send sends the request and returns when the head of the answer is there.
	// A stream is asked for from the event after resume, which is empty for
	// the whole stream. An error's verdict says whether the request may have
	// run; that of a refusal by the backend server is NotRun. Cancelling ctx ends
	// the attempt, also while the body is read. The caller closes the body.
	Send(ctx context.Context, server *wire.BackendServer, request *Request, lastEventID string) (*http.Response, error)
}

// Request is one attempt of a caller, or one item of a batch job, on its way
// to a backend server. It is immutable.
type Request struct {
	// Unique for each attempt of a caller.
	id     string
	method string
	// Path and query as the caller sent them.
	target string
	host   string
	// Without the headers that concern one connection only.
	header http.Header
	// Whole body; nil for none.
	body []byte
	// Zero for an item of a batch job.
	deadline time.Time
}

// NewRequest returns a request without a deadline.
func NewRequest(id, method, target, host string, header http.Header, body []byte) *Request {
	return &Request{id: id, method: method, target: target, host: host, header: header, body: body}
}

// WithDeadline returns a copy of the request that nobody waits for after d.
func (r *Request) WithDeadline(deadline time.Time) *Request {
	q := *r
	q.deadline = deadline
	return &q
}

// ID returns the attempt's id.
func (r *Request) ID() string { return r.id }

// Method returns the HTTP method.
func (r *Request) Method() string { return r.method }

// Target returns path and query as the caller sent them.
func (r *Request) Target() string { return r.target }

// Host returns the Host header.
func (r *Request) Host() string { return r.host }

// Header returns the end-to-end headers, which must not be changed.
func (r *Request) Header() http.Header { return r.header }

// Body returns the whole body, which must not be changed.
func (r *Request) Body() []byte { return r.body }

// Deadline returns when the caller stops waiting, zero for never.
func (r *Request) Deadline() time.Time { return r.deadline }

// PeerJobs is the batch jobs that other fronts run.
type PeerJobs interface {
	// Notify returns nil once the front heeds the changed object of a job. The
	// error's verdict is MayHaveRun when the front may do so.
	Notify(ctx context.Context, front string, notice *wire.JobNotice) error
	// Results returns the results of a job from a position on that are listed,
	// as the front knows, and whether there can be no others. The front waits
	// for so long until there is one.
	Results(ctx context.Context, front, job string, after int, wait time.Duration) (results []*wire.BatchResult, complete bool, err error)
}

// WorkSharer is the work that fronts share among each other, as their datagrams
// tell it.
type WorkSharer interface {
	// Released returns how often this front has left work to the others.
	ReleaseCount() uint32
	// TriggerReconcile is called when another front has left work.
	TriggerReconcile()
	// PeerLost is called when another front has gone silent.
	HandlePeerLost()
	// TriggerDispatch is called when the load of another front has changed.
	TriggerDispatch()
	// QuotaNearLimit says whether this front has seen lately that a route's quota of
	// waiting tokens is nearly used up.
	QuotaNearLimit() bool
	// MarkPeerQuotaNearLimit is called while another front sees so.
	MarkPeerQuotaNearLimit()
}

// JobStates tells which batch jobs still have items without a result.
type JobStates interface {
	// States returns whether a job is open, by id, for all jobs that were kept
	// some seconds ago. A job that has ended stays so.
	States(ctx context.Context) (map[string]bool, error)
}
