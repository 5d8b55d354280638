package entry

import (
	"context"
	"crypto/subtle"
	"slices"

	"github.com/ogen-go/ogen/middleware"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/oapi"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Keys of values in a request's context.
type (
	callerKey  struct{}
	rawBodyKey struct{}
)

// HandleCallerKey finds the caller to whom a bearer key belongs.
func (s *Entry) HandleCallerKey(ctx context.Context, _ oapi.OperationName, t oapi.CallerKey) (context.Context, error) {
	k, e := s.caller(t.Token)
	if e != nil {
		return nil, e
	}
	return context.WithValue(ctx, callerKey{}, k), nil
}

// HandleOperatorKey checks the operators' key.
func (s *Entry) HandleOperatorKey(ctx context.Context, _ oapi.OperationName, t oapi.OperatorKey) (context.Context, error) {
	if s.operatorKey == "" || subtle.ConstantTimeCompare([]byte(t.APIKey), []byte(s.operatorKey)) != 1 {
		return nil, trail.NewError("unauthorized", trail.NotRun, "the operators' key is not valid")
	}
	return ctx, nil
}

func (s *Entry) caller(token string) (string, error) {
	k := token
	if len(s.keys) > 0 {
		k = s.keys[token]
	}
	if k == "" {
		return "", trail.NewError("unauthorized", trail.NotRun, "the caller key is not valid")
	}
	return k, nil
}

func callerOf(c context.Context) string {
	k, _ := c.Value(callerKey{}).(string)
	return k
}

// withRawBody keeps the body as the caller sent it. The generated types hold
// unknown fields in maps, which would change their order.
func withRawBody(r middleware.Request, next middleware.Next) (middleware.Response, error) {
	r.SetContext(context.WithValue(r.Context, rawBodyKey{}, r.RawBody))
	return next(r)
}

func rawBodyOf(c context.Context) []byte {
	b, _ := c.Value(rawBodyKey{}).([]byte)
	return b
}

// Kinds of services.
const (
	modelKind = "model"
	plainKind = "plain"
)

// service returns the service of a kind that a caller names, nil when there is
// none that the caller may use. A model service also has its model's name.
func (s *Entry) service(kind, name, caller string) *wire.Service {
	for _, v := range s.views.Latest().GetConfig().GetText().GetServices() {
		if v.GetKind() != kind || !allows(v, caller) {
			continue
		}
		if v.GetName() == name || kind == modelKind && v.GetModel() == name {
			return v
		}
	}
	return nil
}

// allows says whether the caller may use the service. An empty list admits
// every caller.
func allows(v *wire.Service, caller string) bool {
	return len(v.GetCallers()) == 0 || slices.Contains(v.GetCallers(), caller)
}
