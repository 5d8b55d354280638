package entry

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/state/object"
)

// writeAttempts bounds the attempts to settle a write whose response was lost
// or that met another writer.
const writeAttempts = 3

// read gets an object into m and returns its version.
func (s *Entry) read(c context.Context, kind, name string, m proto.Message) (int64, error) {
	d, f := context.WithTimeout(c, storeTimeout)
	defer f()
	o, e := s.store.Get(d, kind, name)
	if e != nil {
		return 0, e
	}
	return o.Version(), o.Decode(m)
}

// create stores m as a new object. When the object is already there, whoever
// created it, m becomes its value: the name stands for the content. A lost
// response is settled by reading back.
func (s *Entry) create(c context.Context, kind, name string, m proto.Message) error {
	o, e := object.Encode(kind, name, 0, m)
	if e != nil {
		return e
	}
	for range writeAttempts {
		e = s.createOnce(c, o)
		if e == nil {
			return nil
		}
		if !errors.Is(e, trail.ErrExists) && trail.VerdictOf(e) == trail.NotRun {
			return unavailable(e, trail.NotRun)
		}
		_, f := s.read(c, kind, name, m)
		if f == nil {
			return nil
		}
		if !errors.Is(f, trail.ErrNotFound) {
			break
		}
	}
	return unavailable(e, trail.MayHaveRun)
}

func (s *Entry) createOnce(c context.Context, o object.Object) error {
	d, f := context.WithTimeout(c, storeTimeout)
	defer f()
	_, e := s.store.Create(d, o)
	return e
}

func (s *Entry) updateOnce(c context.Context, o object.Object) (object.Object, error) {
	d, f := context.WithTimeout(c, storeTimeout)
	defer f()
	return s.store.Update(d, o)
}

func (s *Entry) list(c context.Context, kind string) ([]object.Object, error) {
	d, f := context.WithTimeout(c, storeTimeout)
	defer f()
	l, _, e := s.store.List(d, kind)
	return l, e
}
