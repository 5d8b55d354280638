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

// GetConfig returns the services text that is in force at this entry.
func (s *Entry) GetConfig(context.Context) (*oapi.Config, error) {
	k := s.views.Latest().GetConfig()
	return configResponse(k.GetText(), k.GetVersion())
}

func configResponse(text *wire.Text, version int64) (*oapi.Config, error) {
	if text == nil {
		text = &wire.Text{}
	}
	d, e := rawJSON(text)
	if e != nil {
		return nil, e
	}
	return &oapi.Config{Version: version, Text: d}, nil
}

// rawJSON returns the JSON form of the message. It is compacted because
// protojson deliberately varies white space between builds.
func rawJSON(message proto.Message) (oapi.RawJSON, error) {
	b, e := protojson.Marshal(message)
	if e != nil {
		return nil, e
	}
	w := &bytes.Buffer{}
	e = json.Compact(w, b)
	return w.Bytes(), e
}

// CheckConfig validates a services text and returns its faults.
func (s *Entry) CheckConfig(_ context.Context, req oapi.RawJSON) (*oapi.ValidationErrors, error) {
	_, e := s.parseText(req)
	return validationErrors(e), nil
}

func validationErrors(err error) *oapi.ValidationErrors {
	r := &oapi.ValidationErrors{Faults: []oapi.ValidationErrorsFaultsItem{}}
	var l trail.Errors
	var f *trail.Error
	switch {
	case err == nil:
	case errors.As(err, &l):
		for _, f := range l {
			r.Faults = append(r.Faults, oapi.ValidationErrorsFaultsItem{Place: f.Place(), Message: f.Message()})
		}
	case errors.As(err, &f):
		r.Faults = append(r.Faults, oapi.ValidationErrorsFaultsItem{Place: f.Place(), Message: f.Message()})
	default:
		r.Faults = append(r.Faults, oapi.ValidationErrorsFaultsItem{Message: err.Error()})
	}
	return r
}

// PutConfig replaces the services text if its version is still the one that the
// operator read. The change takes effect in each process when it is received
// there.
func (s *Entry) PutConfig(ctx context.Context, req *oapi.Config) (oapi.PutConfigRes, error) {
	t, e := s.parseText(req.Text)
	if e != nil {
		return validationErrors(e), nil
	}
	o, e := object.Encode(configsKind, configName, req.Version, t)
	if e != nil {
		return nil, e
	}
	n, e := s.writeConfig(ctx, o)
	if e == nil {
		s.logger.WithField("version", n).Info("entry: configuration accepted")
		return configResponse(t, n)
	}
	if !isConflict(e) && trail.VerdictOf(e) == trail.NotRun {
		return nil, platformError(e, trail.NotRun)
	}
	// Another operator changed the text in between, or the response was lost.
	m := &wire.Text{}
	k, f := s.readObject(ctx, configsKind, configName, m)
	switch {
	case errors.Is(f, trail.ErrNotFound):
		k = 0
	case f != nil && isConflict(e):
		return nil, platformError(f, trail.NotRun)
	case f != nil:
		return nil, platformError(e, trail.MayHaveRun)
	}
	if !isConflict(e) && k > req.Version && proto.Equal(m, t) {
		return configResponse(t, k)
	}
	if k == req.Version {
		return nil, platformError(e, trail.MayHaveRun)
	}
	if !isConflict(e) {
		// The change may have been applied before the present version replaced
		// it.
		return configConflict(req, m, k, trail.MayHaveRun)
	}
	return configConflict(req, m, k, trail.NotRun)
}

func isConflict(err error) bool {
	return errors.Is(err, trail.ErrConflict) || errors.Is(err, trail.ErrExists) || errors.Is(err, trail.ErrNotFound)
}

// writeConfig creates the object when it has no version, and updates it
// otherwise. It returns the new version.
func (s *Entry) writeConfig(ctx context.Context, obj object.Object) (int64, error) {
	d, f := context.WithTimeout(ctx, platformTimeout)
	defer f()
	w := s.store.Update
	if obj.Version() == 0 {
		w = s.store.Create
	}
	n, e := w(d, obj)
	return n.Version(), e
}

func configConflict(request *oapi.Config, current *wire.Text, version int64, verdict trail.Verdict) (oapi.PutConfigRes, error) {
	k, e := configResponse(current, version)
	if e != nil {
		return nil, e
	}
	f := trail.NewError("config-conflict", verdict,
		"the configuration has version %d, not %d that the change was made from", version, request.Version)
	b := errorBody(f).Error
	return &oapi.Conflict{Yours: *request, Current: *k, Error: b}, nil
}
