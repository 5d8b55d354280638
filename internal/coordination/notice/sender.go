package notice

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
	timeout = 500 * time.Millisecond
	// Time that an answer with results may take beyond the wait for them.
	resultsSlack = 250 * time.Millisecond
)

// Sender is the trail.PeerJobs over the mesh.
type Sender struct {
	m *mesh.Mesh
	// Peer address of a front, empty when it is not known.
	address func(front string) string
}

var _ trail.PeerJobs = (*Sender)(nil)

// New returns a sender that finds fronts by address.
func New(m *mesh.Mesh, address func(front string) string) *Sender {
	return &Sender{m: m, address: address}
}

// Tell sends a notice to a front and waits for its answer. Codes of errors:
// peer-unknown and peer-unreachable (not run), peer-lost.
func (s *Sender) Tell(c context.Context, front string, j *wire.JobNotice) error {
	c, f := context.WithTimeout(c, timeout)
	defer f()
	return s.call(c, front, wire.Open_builder{Job: j}.Build(), &wire.JobNoticed{})
}

// Results returns what the front knows of a job's results. The codes of errors
// are those of Tell.
func (s *Sender) Results(c context.Context, front, job string, after int, wait time.Duration) ([]*wire.BatchResult, bool, error) {
	c, f := context.WithTimeout(c, wait+resultsSlack)
	defer f()
	r := &wire.KnownResults{}
	e := s.call(c, front, wire.Open_builder{Results: wire.ResultsQuery_builder{
		Job: &job, After: proto.Int32(int32(after)), WaitMs: proto.Int64(wait.Milliseconds()),
	}.Build()}.Build(), r)
	return r.GetResults(), r.GetCertain(), e
}

// call makes one call at a front and reads the answer into r.
func (s *Sender) call(c context.Context, front string, o *wire.Open, r proto.Message) error {
	a := s.address(front)
	if a == "" {
		return trail.NewError("peer-unknown", trail.NotRun, "no front has this name").At(front)
	}
	n, e := s.m.Open(c, a, o)
	if e != nil {
		return e
	}
	defer func() { _ = n.Close() }()
	d, _ := c.Deadline()
	_ = n.SetDeadline(d)
	e = n.Recv(r)
	if e != nil {
		return trail.WrapError(e, "peer-lost", trail.MayHaveRun, "front did not answer").At(front)
	}
	return nil
}

// Serve answers a notice of another front once take has taken it in.
func Serve(n *frame.Stream, j *wire.JobNotice, take func(j *wire.JobNotice)) error {
	take(j)
	return n.Send(&wire.JobNoticed{})
}

// ServeResults answers another front that asks for the results of a job.
func ServeResults(c context.Context, n *frame.Stream, q *wire.ResultsQuery, results func(c context.Context, job string, after int, wait time.Duration) ([]*wire.BatchResult, bool)) error {
	l, v := results(c, q.GetJob(), int(q.GetAfter()), time.Duration(q.GetWaitMs())*time.Millisecond)
	return n.Send(wire.KnownResults_builder{Results: l, Certain: &v}.Build())
}
