package entry

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/state/object"
)

// writeAttempts limits the attempts to complete a write whose response was lost
// or that conflicted with another writer.
const writeAttempts = 3

// readObject reads an object into the message and returns its version.
func (s *Entry) readObject(ctx context.Context, kind, name string, message proto.Message) (int64, error) {
	d, f := context.WithTimeout(ctx, platformTimeout)
	defer f()
	o, e := s.store.Get(d, kind, name)
	if e != nil {
		return 0, e
	}
	return o.Version(), o.Decode(message)
}

// createObject stores the message as a new object. When the object exists,
// whoever created it, the message gets its value instead: the name of an object
// identifies its content. After a write that may have taken effect, the
// object is read back.
func (s *Entry) createObject(ctx context.Context, kind, name string, message proto.Message) error {
	o, e := object.Encode(kind, name, 0, message)
	if e != nil {
		return e
	}
	for range writeAttempts {
		e = s.createOnce(ctx, o)
		if e == nil {
			return nil
		}
		if !errors.Is(e, trail.ErrExists) && trail.VerdictOf(e) == trail.NotRun {
			return platformError(e, trail.NotRun)
		}
		_, f := s.readObject(ctx, kind, name, message)
		if f == nil {
			return nil
		}
		if !errors.Is(f, trail.ErrNotFound) {
			break
		}
	}
	return platformError(e, trail.MayHaveRun)
}

func (s *Entry) createOnce(ctx context.Context, obj object.Object) error {
	d, f := context.WithTimeout(ctx, platformTimeout)
	defer f()
	_, e := s.store.Create(d, obj)
	return e
}

func (s *Entry) updateOnce(ctx context.Context, obj object.Object) (object.Object, error) {
	d, f := context.WithTimeout(ctx, platformTimeout)
	defer f()
	return s.store.Update(d, obj)
}

func (s *Entry) listObjects(ctx context.Context, kind string) ([]object.Object, error) {
	d, f := context.WithTimeout(ctx, platformTimeout)
	defer f()
	l, _, e := s.store.List(d, kind)
	return l, e
}
