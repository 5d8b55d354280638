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

// HandleCallerKey authenticates a caller by its bearer key.
func (s *Entry) HandleCallerKey(ctx context.Context, _ oapi.OperationName, key oapi.CallerKey) (context.Context, error) {
	k, e := s.callerOfKey(key.Token)
	if e != nil {
		return nil, e
	}
	return context.WithValue(ctx, callerKey{}, k), nil
}

// HandleOperatorKey authenticates an operator.
func (s *Entry) HandleOperatorKey(ctx context.Context, _ oapi.OperationName, key oapi.OperatorKey) (context.Context, error) {
	if s.operatorKey == "" || subtle.ConstantTimeCompare([]byte(key.APIKey), []byte(s.operatorKey)) != 1 {
		return nil, trail.NewError("unauthorized", trail.NotRun, "the operators' key is not valid")
	}
	return ctx, nil
}

func (s *Entry) callerOfKey(token string) (string, error) {
	k := token
	if len(s.callersByKey) > 0 {
		k = s.callersByKey[token]
	}
	if k == "" {
		return "", trail.NewError("unauthorized", trail.NotRun, "the caller key is not valid")
	}
	return k, nil
}

func callerFrom(ctx context.Context) string {
	k, _ := ctx.Value(callerKey{}).(string)
	return k
}

// withRawBody keeps the body as the caller sent it for the backend server. The
// generated types hold unknown fields in maps, which lose their order.
func withRawBody(request middleware.Request, next middleware.Next) (middleware.Response, error) {
	request.SetContext(context.WithValue(request.Context, rawBodyKey{}, request.RawBody))
	return next(request)
}

func rawBodyFrom(ctx context.Context) []byte {
	b, _ := ctx.Value(rawBodyKey{}).([]byte)
	return b
}

// Kinds of services.
const (
	modelKind = "model"
	plainKind = "plain"
)

// findService returns the service of a kind by its name, or nil when there is
// none that the caller may use. Model services are also found by the name of
// their model.
func (s *Entry) findService(kind, name, caller string) *wire.Service {
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

// allows reports whether the caller may use the service. An empty list of
// callers allows all.
func allows(service *wire.Service, caller string) bool {
	return len(service.GetCallers()) == 0 || slices.Contains(service.GetCallers(), caller)
}
