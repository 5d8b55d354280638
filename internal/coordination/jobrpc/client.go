package jobrpc

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
	"bulrushtrail.example/trail/internal/transport/mesh"
)

const (
	// Timeout of one notice. A healthy front answers within milliseconds.
	notifyTimeout = 500 * time.Millisecond
	// Time added to the wait for results for the transport of the query and the
	// response.
	resultsTimeoutMargin = 250 * time.Millisecond
)

// Client implements trail.PeerJobs over the mesh.
type Client struct {
	mesh *mesh.Mesh
	// Returns the peer address of a front, empty when it is unknown.
	address func(ctx context.Context, front string) string
}

var _ trail.PeerJobs = (*Client)(nil)

// New returns a client that resolves names of fronts with address.
func New(mesh *mesh.Mesh, address func(ctx context.Context, front string) string) *Client {
	return &Client{mesh: mesh, address: address}
}

// Notify sends a notice to a front and waits until the front has applied it.
// The error codes are peer-unknown and peer-unreachable, with which the front
// has not received the notice, and peer-lost, with which it may have.
func (s *Client) Notify(ctx context.Context, front string, notice *wire.JobNotice) error {
	c, f := context.WithTimeout(ctx, notifyTimeout)
	defer f()
	return s.call(c, front, wire.Open_builder{Job: notice}.Build(), &wire.JobNoticed{})
}

// Results queries a front for the results of a job from position after on. The
// front waits up to wait for one. The second value is true when there are none
// and none can be listed elsewhere. The error codes are those of Notify.
func (s *Client) Results(ctx context.Context, front, job string, after int, wait time.Duration) ([]*wire.BatchResult, bool, error) {
	c, f := context.WithTimeout(ctx, wait+resultsTimeoutMargin)
	defer f()
	r := &wire.KnownResults{}
	e := s.call(c, front, wire.Open_builder{Results: wire.ResultsQuery_builder{
		Job: &job, After: proto.Int32(int32(after)), WaitMs: proto.Int64(wait.Milliseconds()),
	}.Build()}.Build(), r)
	return r.GetResults(), r.GetCertain(), e
}

// call sends a request to a front on a new stream and reads its response.
func (s *Client) call(ctx context.Context, front string, request *wire.Open, response proto.Message) error {
	a := s.address(ctx, front)
	if a == "" {
		return trail.NewError("peer-unknown", trail.NotRun, "peer address of the front is unknown").WithPlace(front)
	}
	n, e := s.mesh.Open(ctx, a, request)
	if e != nil {
		return e
	}
	defer func() { _ = n.Close() }()
	d, _ := ctx.Deadline()
	_ = n.SetDeadline(d)
	e = n.Recv(response)
	if e != nil {
		return trail.WrapError(e, "peer-lost", trail.MayHaveRun, "front did not respond").WithPlace(front)
	}
	return nil
}

// ServeNotice acknowledges a notice of another front once handle has returned.
func ServeNotice(stream *frame.Stream, notice *wire.JobNotice, handle func(notice *wire.JobNotice)) error {
	handle(notice)
	return stream.Send(&wire.JobNoticed{})
}

// ServeResults responds to another front that queries the results of a job.
func ServeResults(ctx context.Context, stream *frame.Stream, query *wire.ResultsQuery, results func(ctx context.Context, job string, after int, wait time.Duration) ([]*wire.BatchResult, bool)) error {
	l, v := results(ctx, query.GetJob(), int(query.GetAfter()), time.Duration(query.GetWaitMs())*time.Millisecond)
	return stream.Send(wire.KnownResults_builder{Results: l, Certain: &v}.Build())
}
