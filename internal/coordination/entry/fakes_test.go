package entry_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

// faults holds the failure mode of each fake. The mode "down" fails all calls.
// The mode "lost" applies to one call, which takes effect and whose response is
// lost.
type faults struct {
	sync.Mutex
	modes map[string]string
}

func (f *faults) set(part, mode string) {
	f.Lock()
	defer f.Unlock()
	f.modes[part] = mode
}

// take returns the mode of a part, and resets it if it is "lost".
func (f *faults) take(part string) string {
	f.Lock()
	defer f.Unlock()
	m := f.modes[part]
	if m == "lost" {
		delete(f.modes, part)
	}
	return m
}

var (
	errDown = trail.WrapError(trail.ErrUnavailable, "platform-unavailable", trail.NotRun, "call refused")
	errLost = trail.NewError("response-lost", trail.MayHaveRun, "response lost")
)

// fakeStore is an in-memory implementation of the platform's object API.
type fakeStore struct {
	sync.Mutex
	faults  *faults
	objects map[string]object.Object
	version int64
}

func platformError(err error, text string) error {
	return trail.WrapError(err, "platform", trail.NotRun, "%s", text)
}

func (s *fakeStore) Get(_ context.Context, kind, name string) (object.Object, error) {
	if s.faults.take("platform-reads") == "down" {
		return object.Object{}, errDown
	}
	s.Lock()
	defer s.Unlock()
	o, b := s.objects[kind+"/"+name]
	if !b {
		return o, platformError(trail.ErrNotFound, name)
	}
	return o, nil
}

func (s *fakeStore) List(_ context.Context, kind string) ([]object.Object, int64, error) {
	s.Lock()
	defer s.Unlock()
	var l []object.Object
	for _, n := range slices.Sorted(maps.Keys(s.objects)) {
		if strings.HasPrefix(n, kind+"/") {
			l = append(l, s.objects[n])
		}
	}
	return l, s.version, nil
}

func (s *fakeStore) write(obj object.Object, old int64) (object.Object, error) {
	m := s.faults.take("platform")
	if m == "down" {
		return obj, errDown
	}
	s.Lock()
	defer s.Unlock()
	n := obj.Kind() + "/" + obj.Name()
	h, b := s.objects[n]
	switch {
	case b && old == 0:
		return obj, platformError(trail.ErrExists, n)
	case !b && old != 0:
		return obj, platformError(trail.ErrNotFound, n)
	case h.Version() != old:
		return obj, platformError(trail.ErrConflict, n)
	}
	s.version++
	s.objects[n] = object.New(obj.Kind(), obj.Name(), s.version, obj.Value())
	if m == "lost" {
		return obj, errLost
	}
	return s.objects[n], nil
}

func (s *fakeStore) Create(_ context.Context, obj object.Object) (object.Object, error) {
	return s.write(obj, 0)
}

func (s *fakeStore) Update(_ context.Context, obj object.Object) (object.Object, error) {
	return s.write(obj, obj.Version())
}

func (s *fakeStore) Delete(context.Context, object.Object) error { panic("not used") }

func (s *fakeStore) Watch(context.Context, string, int64) (<-chan trail.Change, error) {
	panic("not used")
}

// fakeClaims is an in-memory implementation of the claims.
type fakeClaims struct {
	sync.Mutex
	faults *faults
	held   map[string]*wire.ClaimEntry
}

func (s *fakeClaims) Claim(_ context.Context, request *wire.Claim) (*wire.ClaimReply, error) {
	m := s.faults.take("claims")
	if m == "down" {
		return wire.ClaimReply_builder{Result: wire.ClaimReply_RESULT_REFUSED.Enum(), RetryAfterMs: new(int64(1500))}.Build(), nil
	}
	s.Lock()
	defer s.Unlock()
	k := request.GetCaller() + "/" + request.GetKey()
	h := s.held[k]
	switch {
	case h != nil && h.GetDigest() != request.GetDigest():
		return wire.ClaimReply_builder{Result: wire.ClaimReply_RESULT_MISMATCH.Enum()}.Build(), nil
	case h != nil:
		return heldReply(h), nil
	}
	h = wire.ClaimEntry_builder{AttemptId: new(request.GetAttemptId()), Digest: new(request.GetDigest()), TakenUnixMs: new(time.Now().UnixMilli())}.Build()
	s.held[k] = h
	if m == "orphaned" {
		// The key was claimed a minute ago by an entry that was lost.
		h.SetAttemptId("attempt-of-lost-entry")
		h.SetTakenUnixMs(time.Now().Add(-time.Minute).UnixMilli())
		return heldReply(h), nil
	}
	if m == "lost" {
		return nil, errLost
	}
	return wire.ClaimReply_builder{Result: wire.ClaimReply_RESULT_GRANTED.Enum()}.Build(), nil
}

func heldReply(entry *wire.ClaimEntry) *wire.ClaimReply {
	return wire.ClaimReply_builder{
		Result: wire.ClaimReply_RESULT_HELD.Enum(), Outcome: entry.GetOutcome(), AgeMs: new(time.Now().UnixMilli() - entry.GetTakenUnixMs()),
	}.Build()
}

func (s *fakeClaims) Settle(_ context.Context, request *wire.Settle) (*wire.SettleReply, error) {
	s.Lock()
	defer s.Unlock()
	k := request.GetCaller() + "/" + request.GetKey()
	b := s.held[k].GetAttemptId() == request.GetAttemptId()
	switch {
	case b && request.GetOutcome().GetVerdict() == wire.Verdict_VERDICT_NOT_RUN:
		delete(s.held, k)
	case b:
		s.held[k].SetOutcome(request.GetOutcome())
	}
	return wire.SettleReply_builder{Done: &b}.Build(), nil
}

// fakeAnswers is an in-memory implementation of the answer store.
type fakeAnswers struct {
	sync.Mutex
	faults *faults
	// Registrations and stored answers by caller and request id.
	byRequest map[string]*wire.Answer
}

// find returns the registration or stored answer, and the reply for it.
func (s *fakeAnswers) find(request *wire.Answer) (*wire.Answer, *wire.AnswerReply, error) {
	if s.faults.take("depots") == "down" {
		return nil, nil, trail.NewError("no-depot", trail.NotRun, "no depot answers")
	}
	a := s.byRequest[request.GetCaller()+"/"+request.GetRequestId()]
	n := wire.AnswerReply_RESULT_MISSING
	switch {
	case a != nil && a.GetDigest() != request.GetDigest() && request.GetDigest() != "":
		n = wire.AnswerReply_RESULT_MISMATCH
	case a.GetStored() != nil:
		n = wire.AnswerReply_RESULT_STORED
	case a != nil:
		n = wire.AnswerReply_RESULT_RUNNING
	}
	return a, wire.AnswerReply_builder{Result: &n, Stored: a.GetStored()}.Build(), nil
}

func (s *fakeAnswers) Begin(_ context.Context, request *wire.Answer) (*wire.AnswerReply, error) {
	s.Lock()
	defer s.Unlock()
	a, n, e := s.find(request)
	if e == nil && a == nil {
		s.byRequest[request.GetCaller()+"/"+request.GetRequestId()] = request
		n.SetResult(wire.AnswerReply_RESULT_BEGUN)
	}
	return n, e
}

func (s *fakeAnswers) Store(_ context.Context, request *wire.Answer) (*wire.AnswerReply, error) {
	s.Lock()
	defer s.Unlock()
	a, n, e := s.find(request)
	if e != nil || a.GetStored() != nil || n.GetResult() == wire.AnswerReply_RESULT_MISMATCH {
		return n, e
	}
	s.byRequest[request.GetCaller()+"/"+request.GetRequestId()] = request
	n.SetResult(wire.AnswerReply_RESULT_STORED)
	n.SetCopies(2)
	return n, nil
}

func (s *fakeAnswers) Read(_ context.Context, request *wire.Answer) (*wire.AnswerReply, error) {
	s.Lock()
	defer s.Unlock()
	_, n, e := s.find(request)
	return n, e
}

func (s *fakeAnswers) Abandon(_ context.Context, request *wire.Answer) error {
	s.Lock()
	defer s.Unlock()
	k := request.GetCaller() + "/" + request.GetRequestId()
	if s.byRequest[k].GetAttemptId() == request.GetAttemptId() && s.byRequest[k].GetStored() == nil {
		delete(s.byRequest, k)
	}
	return nil
}

// fakeBulk is an in-memory implementation of bulk storage.
type fakeBulk struct {
	faults   *faults
	segments map[string][]byte
}

func (s *fakeBulk) Put(_ context.Context, input io.Reader) (*wire.Segment, error) {
	if s.faults.take("bulk") == "down" {
		return nil, errors.New("no depot answers")
	}
	b, e := io.ReadAll(input)
	if e != nil {
		return nil, e
	}
	h := sha256.Sum256(b)
	i := hex.EncodeToString(h[:])
	s.segments[i] = b
	return wire.Segment_builder{Id: &i, Digest: &i, SizeBytes: new(int64(len(b)))}.Build(), nil
}

func (s *fakeBulk) Get(_ context.Context, segment *wire.Segment, _, _ int64) (io.ReadCloser, error) {
	if s.faults.take("bulk") == "down" {
		return nil, errors.New("no depot answers")
	}
	b, k := s.segments[segment.GetId()]
	if !k {
		return nil, errors.New("no copy")
	}
	return io.NopCloser(bytes.NewReader(b)), nil
}

// parseText is a substitute for the parser of services texts. It finds a fault in
// every service whose name begins with "bad".
func parseText(text []byte) (*wire.Text, error) {
	t := &wire.Text{}
	e := object.New("", "", 0, text).Decode(t)
	if e != nil {
		return nil, trail.NewError("bad-text", trail.NotRun, "text is not a services text")
	}
	var l trail.Errors
	for i, v := range t.GetServices() {
		if strings.HasPrefix(v.GetName(), "bad") {
			l = append(l, trail.NewError("bad-name", trail.NotRun, "name %s is not allowed", v.GetName()).WithPlace(fmt.Sprintf("/services/%d/name", i)))
		}
	}
	return t, l.OrNil()
}

// fixedViews always returns the same view.
type fixedViews struct{ view *wire.View }

func (v fixedViews) Latest() *wire.View { return v.view }

func (v fixedViews) Subscribe(ctx context.Context) <-chan *wire.View {
	k := make(chan *wire.View)
	context.AfterFunc(ctx, func() { close(k) })
	return k
}
