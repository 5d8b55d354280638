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
	// Bound of one notice. Fronts that are well answer within milliseconds.
	notifyTimeout = 500 * time.Millisecond
	// Time that an answer with results may take beyond the wait for them.
	resultsTimeoutMargin = 250 * time.Millisecond
)

// Client is the trail.PeerJobs over the mesh.
type Client struct {
	mesh *mesh.Mesh
	// Peer address of a front, empty when it is not known.
	address func(front string) string
}

var _ trail.PeerJobs = (*Client)(nil)

// New returns a sender that finds fronts by address.
func New(mesh *mesh.Mesh, address func(front string) string) *Client {
	return &Client{mesh: mesh, address: address}
}

// Notify sends a notice to a front and waits for its answer. Codes of errors:
// peer-unknown and peer-unreachable (not run), peer-lost.
func (s *Client) Notify(ctx context.Context, front string, notice *wire.JobNotice) error {
	c, f := context.WithTimeout(ctx, notifyTimeout)
	defer f()
	return s.call(c, front, wire.Open_builder{Job: notice}.Build(), &wire.JobNoticed{})
}

// Results returns what the front knows of a job's results. The codes of errors
// are those of Tell.
func (s *Client) Results(ctx context.Context, front, job string, after int, wait time.Duration) ([]*wire.BatchResult, bool, error) {
	c, f := context.WithTimeout(ctx, wait+resultsTimeoutMargin)
	defer f()
	r := &wire.KnownResults{}
	e := s.call(c, front, wire.Open_builder{Results: wire.ResultsQuery_builder{
		Job: &job, After: proto.Int32(int32(after)), WaitMs: proto.Int64(wait.Milliseconds()),
	}.Build()}.Build(), r)
	return r.GetResults(), r.GetCertain(), e
}

// call makes one call at a front and reads the answer into r.
func (s *Client) call(ctx context.Context, front string, request *wire.Open, response proto.Message) error {
	a := s.address(front)
	if a == "" {
		return trail.NewError("peer-unknown", trail.NotRun, "no front has this name").At(front)
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
		return trail.WrapError(e, "peer-lost", trail.MayHaveRun, "front did not answer").At(front)
	}
	return nil
}

// ServeNotice answers a notice of another front once take has taken it in.
func ServeNotice(stream *frame.Stream, notice *wire.JobNotice, handle func(j *wire.JobNotice)) error {
	handle(notice)
	return stream.Send(&wire.JobNoticed{})
}

// ServeResults answers another front that asks for the results of a job.
func ServeResults(ctx context.Context, stream *frame.Stream, query *wire.ResultsQuery, results func(c context.Context, job string, after int, wait time.Duration) ([]*wire.BatchResult, bool)) error {
	l, v := results(ctx, query.GetJob(), int(query.GetAfter()), time.Duration(query.GetWaitMs())*time.Millisecond)
	return stream.Send(wire.KnownResults_builder{Results: l, Certain: &v}.Build())
}
