package answer

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// A file ends at this size or age, so that whole files expire soon after
	// their answers.
	maxFileBytes = 64 << 20
	maxFileAge   = 10 * time.Minute
	expiryPeriod = time.Minute
	// Stores that are synced together at most.
	maxGroup = 1024
)

// Log is the stored answers of one folder. Its methods may be called at once.
type Log struct {
	l      log.Interface
	stores chan store
	reads  chan read
	scans  chan chan []extent
	done   chan struct{}
}

// store asks the task to keep an answer.
type store struct {
	a     *wire.Answer
	reply chan error
}

// read asks the task where an answer is.
type read struct {
	k     key
	reply chan location
}

// state belongs to the task.
type state struct {
	folder string
	l      log.Interface
	places map[key]location
	// In the order of creation.
	files []*file
	// The file that takes new records, nil until the first one and after a
	// failed write. It is the last of files.
	current *file
	created time.Time
	// Number in the name of the next file.
	sequence uint64
}

// New opens the folder, creates it when it is not there, and rebuilds the
// index. Its task ends with c.
func New(c context.Context, folder string, l log.Interface) (*Log, error) {
	e := os.MkdirAll(folder, 0o700)
	if e != nil {
		return nil, e
	}
	t := &state{folder: folder, l: l, places: map[key]location{}, sequence: 1}
	p, e := names(folder)
	if e != nil {
		return nil, e
	}
	d := 0
	for _, f := range p {
		n, e := t.load(f)
		if e != nil {
			return nil, e
		}
		d += n
		i, e := strconv.ParseUint(strings.TrimSuffix(filepath.Base(f), fileSuffix), 10, 64)
		if e == nil {
			t.sequence = max(t.sequence, i+1)
		}
	}
	l.WithFields(log.Fields{"answers": len(t.places), "files": len(p), "damaged": d}).Info("answer: folder opened")
	s := &Log{l: l, stores: make(chan store), reads: make(chan read), scans: make(chan chan []extent), done: make(chan struct{})}
	go s.run(c, t)
	return s, nil
}

// Store keeps an answer and returns the one that stays for its caller and
// request id, once that is on disk. An error means that the answer may or may
// not be found again after a restart.
func (s *Log) Store(c context.Context, a *wire.Answer) (*wire.StoredAnswer, error) {
	r := make(chan error, 1)
	select {
	case s.stores <- store{a, r}:
	case <-c.Done():
		return nil, c.Err()
	case <-s.done:
		return nil, os.ErrClosed
	}
	// The task answers each store that it received.
	e := <-r
	if e != nil {
		return nil, e
	}
	return s.Read(c, a.GetCaller(), a.GetRequestId())
}

// Read returns the answer stored for a caller and request id. The error has
// the code "answer-missing" when there is none or its record is damaged.
func (s *Log) Read(c context.Context, caller, request string) (*wire.StoredAnswer, error) {
	p, e := s.locate(c, caller, request)
	if e != nil {
		return nil, e
	}
	if p.f == nil {
		return nil, trail.NewError("answer-missing", trail.NotRun, "no answer is stored")
	}
	a, _, e := readRecord(p.f.f, p.offset)
	if e != nil || a.GetCaller() != caller || a.GetRequestId() != request {
		s.l.WithFields(log.Fields{"request-id": request, "file": p.f.f.Name()}).Error("answer: record is damaged")
		return nil, trail.NewError("answer-missing", trail.NotRun, "the stored answer is damaged")
	}
	return a.GetStored(), nil
}

// locate asks the task where an answer is.
func (s *Log) locate(c context.Context, caller, request string) (location, error) {
	r := read{keyOf(caller, request), make(chan location, 1)}
	select {
	case s.reads <- r:
		return <-r.reply, nil
	case <-c.Done():
		return location{}, c.Err()
	case <-s.done:
		return location{}, os.ErrClosed
	}
}
