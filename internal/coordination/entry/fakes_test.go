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

// faults says how each part fails now. A mode is "down", or "lost" for one
// call whose change takes effect and whose response is lost.
type faults struct {
	sync.Mutex
	modes map[string]string
}

func (f *faults) set(part, mode string) {
	f.Lock()
	defer f.Unlock()
	f.modes[part] = mode
}

// take returns the mode of a part and ends a loss.
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

// store is the platform's object API in memory.
type store struct {
	sync.Mutex
	f       *faults
	objects map[string]object.Object
	version int64
}

func failure(e error, text string) error {
	return trail.WrapError(e, "platform", trail.NotRun, "%s", text)
}

func (s *store) Get(_ context.Context, kind, name string) (object.Object, error) {
	if s.f.take("platform-reads") == "down" {
		return object.Object{}, errDown
	}
	s.Lock()
	defer s.Unlock()
	o, b := s.objects[kind+"/"+name]
	if !b {
		return o, failure(trail.ErrNotFound, name)
	}
	return o, nil
}

func (s *store) List(_ context.Context, kind string) ([]object.Object, int64, error) {
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

func (s *store) write(o object.Object, old int64) (object.Object, error) {
	m := s.f.take("platform")
	if m == "down" {
		return o, errDown
	}
	s.Lock()
	defer s.Unlock()
	n := o.Kind() + "/" + o.Name()
	h, b := s.objects[n]
	switch {
	case b && old == 0:
		return o, failure(trail.ErrExists, n)
	case !b && old != 0:
		return o, failure(trail.ErrNotFound, n)
	case h.Version() != old:
		return o, failure(trail.ErrConflict, n)
	}
	s.version++
	s.objects[n] = object.New(o.Kind(), o.Name(), s.version, o.Value())
	if m == "lost" {
		return o, errLost
	}
	return s.objects[n], nil
}

func (s *store) Create(_ context.Context, o object.Object) (object.Object, error) {
	return s.write(o, 0)
}

func (s *store) Update(_ context.Context, o object.Object) (object.Object, error) {
	return s.write(o, o.Version())
}

func (s *store) Delete(context.Context, object.Object) error { panic("not used") }

func (s *store) Watch(context.Context, string, int64) (<-chan trail.Change, error) {
	panic("not used")
}

// claims keeps idempotency keys in memory.
type claims struct {
	sync.Mutex
	f    *faults
	held map[string]*wire.ClaimEntry
}

func (s *claims) Claim(_ context.Context, r *wire.Claim) (*wire.ClaimReply, error) {
	m := s.f.take("claims")
	if m == "down" {
		return wire.ClaimReply_builder{Result: wire.ClaimReply_RESULT_REFUSED.Enum(), RetryAfterMs: new(int64(1500))}.Build(), nil
	}
	s.Lock()
	defer s.Unlock()
	k := r.GetCaller() + "/" + r.GetKey()
	h := s.held[k]
	switch {
	case h != nil && h.GetDigest() != r.GetDigest():
		return wire.ClaimReply_builder{Result: wire.ClaimReply_RESULT_MISMATCH.Enum()}.Build(), nil
	case h != nil:
		return heldReply(h), nil
	}
	h = wire.ClaimEntry_builder{AttemptId: new(r.GetAttemptId()), Digest: new(r.GetDigest()), TakenUnixMs: new(time.Now().UnixMilli())}.Build()
	s.held[k] = h
	if m == "orphaned" {
		// An entry took the key a minute ago and was lost.
		h.SetAttemptId("attempt-of-lost-entry")
		h.SetTakenUnixMs(time.Now().Add(-time.Minute).UnixMilli())
		return heldReply(h), nil
	}
	if m == "lost" {
		return nil, errLost
	}
	return wire.ClaimReply_builder{Result: wire.ClaimReply_RESULT_GRANTED.Enum()}.Build(), nil
}

func heldReply(h *wire.ClaimEntry) *wire.ClaimReply {
	return wire.ClaimReply_builder{
		Result: wire.ClaimReply_RESULT_HELD.Enum(), Outcome: h.GetOutcome(), AgeMs: new(time.Now().UnixMilli() - h.GetTakenUnixMs()),
	}.Build()
}

func (s *claims) Settle(_ context.Context, r *wire.Settle) (*wire.SettleReply, error) {
	s.Lock()
	defer s.Unlock()
	k := r.GetCaller() + "/" + r.GetKey()
	b := s.held[k].GetAttemptId() == r.GetAttemptId()
	switch {
	case b && r.GetOutcome().GetVerdict() == wire.Verdict_VERDICT_NOT_RUN:
		delete(s.held, k)
	case b:
		s.held[k].SetOutcome(r.GetOutcome())
	}
	return wire.SettleReply_builder{Done: &b}.Build(), nil
}

// answers keeps answers in memory.
type answers struct {
	sync.Mutex
	f *faults
	// The registration or the stored answer by caller and request id.
	known map[string]*wire.Answer
}

// find returns what is known, and the reply that follows from it.
func (s *answers) find(r *wire.Answer) (*wire.Answer, *wire.AnswerReply, error) {
	if s.f.take("depots") == "down" {
		return nil, nil, trail.NewError("no-depot", trail.NotRun, "no depot answers")
	}
	a := s.known[r.GetCaller()+"/"+r.GetRequestId()]
	n := wire.AnswerReply_RESULT_MISSING
	switch {
	case a != nil && a.GetDigest() != r.GetDigest() && r.GetDigest() != "":
		n = wire.AnswerReply_RESULT_MISMATCH
	case a.GetStored() != nil:
		n = wire.AnswerReply_RESULT_STORED
	case a != nil:
		n = wire.AnswerReply_RESULT_RUNNING
	}
	return a, wire.AnswerReply_builder{Result: &n, Stored: a.GetStored()}.Build(), nil
}

func (s *answers) Begin(_ context.Context, r *wire.Answer) (*wire.AnswerReply, error) {
	s.Lock()
	defer s.Unlock()
	a, n, e := s.find(r)
	if e == nil && a == nil {
		s.known[r.GetCaller()+"/"+r.GetRequestId()] = r
		n.SetResult(wire.AnswerReply_RESULT_BEGUN)
	}
	return n, e
}

func (s *answers) Store(_ context.Context, r *wire.Answer) (*wire.AnswerReply, error) {
	s.Lock()
	defer s.Unlock()
	a, n, e := s.find(r)
	if e != nil || a.GetStored() != nil || n.GetResult() == wire.AnswerReply_RESULT_MISMATCH {
		return n, e
	}
	s.known[r.GetCaller()+"/"+r.GetRequestId()] = r
	n.SetResult(wire.AnswerReply_RESULT_STORED)
	n.SetCopies(2)
	return n, nil
}

func (s *answers) Read(_ context.Context, r *wire.Answer) (*wire.AnswerReply, error) {
	s.Lock()
	defer s.Unlock()
	_, n, e := s.find(r)
	return n, e
}

func (s *answers) Abandon(_ context.Context, r *wire.Answer) error {
	s.Lock()
	defer s.Unlock()
	k := r.GetCaller() + "/" + r.GetRequestId()
	if s.known[k].GetAttemptId() == r.GetAttemptId() && s.known[k].GetStored() == nil {
		delete(s.known, k)
	}
	return nil
}

// bulk keeps segments in memory.
type bulk struct {
	f *faults
	m map[string][]byte
}

func (s *bulk) Put(_ context.Context, r io.Reader) (*wire.Segment, error) {
	if s.f.take("bulk") == "down" {
		return nil, errors.New("no depot answers")
	}
	b, e := io.ReadAll(r)
	if e != nil {
		return nil, e
	}
	h := sha256.Sum256(b)
	i := hex.EncodeToString(h[:])
	s.m[i] = b
	return wire.Segment_builder{Id: &i, Digest: &i, SizeBytes: new(int64(len(b)))}.Build(), nil
}

func (s *bulk) Get(_ context.Context, g *wire.Segment, _, _ int64) (io.ReadCloser, error) {
	if s.f.take("bulk") == "down" {
		return nil, errors.New("no depot answers")
	}
	b, k := s.m[g.GetId()]
	if !k {
		return nil, errors.New("no copy")
	}
	return io.NopCloser(bytes.NewReader(b)), nil
}

// check stands for the check of the services text: every name that begins with
// "bad" is a fault.
func check(text []byte) (*wire.Text, error) {
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

// views is a view that does not change.
type views struct{ v *wire.View }

func (v views) Latest() *wire.View { return v.v }

func (v views) Subscribe(c context.Context) <-chan *wire.View {
	k := make(chan *wire.View)
	context.AfterFunc(c, func() { close(k) })
	return k
}
