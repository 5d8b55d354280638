package entry

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/oapi"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

const (
	configsKind = "configs"
	configName  = "current"
)

// GetConfig returns the services text in force at this entry.
func (s *Entry) GetConfig(context.Context) (*oapi.Config, error) {
	k := s.views.Latest().GetConfig()
	return configAnswer(k.GetText(), k.GetVersion())
}

func configAnswer(t *wire.Text, version int64) (*oapi.Config, error) {
	if t == nil {
		t = &wire.Text{}
	}
	d, e := document(t)
	if e != nil {
		return nil, e
	}
	return &oapi.Config{Version: version, Text: d}, nil
}

// document returns the JSON form of m without the white space that protojson
// varies on purpose.
func document(m proto.Message) (oapi.Document, error) {
	b, e := protojson.Marshal(m)
	if e != nil {
		return nil, e
	}
	w := &bytes.Buffer{}
	e = json.Compact(w, b)
	return w.Bytes(), e
}

// CheckConfig returns the faults of a services text.
func (s *Entry) CheckConfig(_ context.Context, req oapi.Document) (*oapi.Faults, error) {
	_, e := s.check(req)
	return faults(e), nil
}

func faults(e error) *oapi.Faults {
	r := &oapi.Faults{Faults: []oapi.FaultsFaultsItem{}}
	var l trail.Errors
	var f *trail.Error
	switch {
	case e == nil:
	case errors.As(e, &l):
		for _, f := range l {
			r.Faults = append(r.Faults, oapi.FaultsFaultsItem{Place: f.Place(), Message: f.Message()})
		}
	case errors.As(e, &f):
		r.Faults = append(r.Faults, oapi.FaultsFaultsItem{Place: f.Place(), Message: f.Message()})
	default:
		r.Faults = append(r.Faults, oapi.FaultsFaultsItem{Message: e.Error()})
	}
	return r
}

// PutConfig replaces the version of the services text that the operator read.
// It takes effect at each process when the change arrives there.
func (s *Entry) PutConfig(ctx context.Context, req *oapi.Config) (oapi.PutConfigRes, error) {
	t, e := s.check(req.Text)
	if e != nil {
		return faults(e), nil
	}
	o, e := object.Encode(configsKind, configName, req.Version, t)
	if e != nil {
		return nil, e
	}
	n, e := s.write(ctx, o)
	if e == nil {
		s.l.WithField("version", n).Info("entry: configuration accepted")
		return configAnswer(t, n)
	}
	if !inConflict(e) && trail.VerdictOf(e) == trail.NotRun {
		return nil, unavailable(e, trail.NotRun)
	}
	// Another operator was first, or the response was lost.
	m := &wire.Text{}
	k, f := s.read(ctx, configsKind, configName, m)
	switch {
	case errors.Is(f, trail.ErrNotFound):
		k = 0
	case f != nil && inConflict(e):
		return nil, unavailable(f, trail.NotRun)
	case f != nil:
		return nil, unavailable(e, trail.MayHaveRun)
	}
	if !inConflict(e) && k > req.Version && proto.Equal(m, t) {
		return configAnswer(t, k)
	}
	if k == req.Version {
		return nil, unavailable(e, trail.MayHaveRun)
	}
	if !inConflict(e) {
		// The change may have been in force before the present version.
		return conflict(req, m, k, trail.MayHaveRun)
	}
	return conflict(req, m, k, trail.NotRun)
}

func inConflict(e error) bool {
	return errors.Is(e, trail.ErrConflict) || errors.Is(e, trail.ErrExists) || errors.Is(e, trail.ErrNotFound)
}

// write creates the object when it has no version, and updates it otherwise.
func (s *Entry) write(c context.Context, o object.Object) (int64, error) {
	d, f := context.WithTimeout(c, storeTimeout)
	defer f()
	w := s.store.Update
	if o.Version() == 0 {
		w = s.store.Create
	}
	n, e := w(d, o)
	return n.Version(), e
}

func conflict(q *oapi.Config, m *wire.Text, version int64, verdict trail.Verdict) (oapi.PutConfigRes, error) {
	k, e := configAnswer(m, version)
	if e != nil {
		return nil, e
	}
	f := trail.NewError("config-conflict", verdict,
		"the configuration has version %d, not %d that the change was made from", version, q.Version)
	b := errorBody(f).Error
	return &oapi.Conflict{Yours: *q, Current: *k, Error: b}, nil
}
