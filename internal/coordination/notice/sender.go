package notice

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
	"bulrushtrail.example/trail/internal/transport/frame"
	"bulrushtrail.example/trail/internal/transport/mesh"
)

// Bound of one notice. Fronts that are well answer within milliseconds.
const timeout = 500 * time.Millisecond

// Sender is a trail.Notifier over the mesh.
type Sender struct {
	m *mesh.Mesh
	// Peer address of a front, empty when it is not known.
	address func(front string) string
}

var _ trail.Notifier = (*Sender)(nil)

// New returns a sender that finds fronts by address.
func New(m *mesh.Mesh, address func(front string) string) *Sender {
	return &Sender{m: m, address: address}
}

// Tell sends the object to a front and waits for its answer. Codes of errors:
// peer-unknown and peer-unreachable (not run), peer-lost.
func (s *Sender) Tell(c context.Context, front string, o object.Object) error {
	a := s.address(front)
	if a == "" {
		return trail.NewError("peer-unknown", trail.NotRun, "no front has this name").At(front)
	}
	c, f := context.WithTimeout(c, timeout)
	defer f()
	n, e := s.m.Open(c, a, wire.Open_builder{Job: wire.JobNotice_builder{
		Name: proto.String(o.Name()), Version: proto.Int64(o.Version()), Value: o.Value(),
	}.Build()}.Build())
	if e != nil {
		return e
	}
	defer func() { _ = n.Close() }()
	d, _ := c.Deadline()
	_ = n.SetDeadline(d)
	e = n.Recv(&wire.JobNoticed{})
	if e != nil {
		return trail.WrapError(e, "peer-lost", trail.MayHaveRun, "front did not answer the notice").At(front)
	}
	return nil
}

// Serve answers a notice of another front once take has taken it in.
func Serve(n *frame.Stream, j *wire.JobNotice, take func(name string, version int64, value []byte)) error {
	take(j.GetName(), j.GetVersion(), j.GetValue())
	return n.Send(&wire.JobNoticed{})
}
