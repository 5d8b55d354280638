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
	// A new file is started at this size or age, so that a file can be removed
	// soon after its answers have expired.
	maxFileBytes   = 64 << 20
	maxFileAge     = 10 * time.Minute
	expiryInterval = time.Minute
	// Maximum number of answers written with one sync.
	maxBatch = 1024
)

// Log holds the stored answers of one folder. Its methods are safe for concurrent
// use.
type Log struct {
	logger  log.Interface
	stores  chan storeRequest
	lookups chan lookupRequest
	scans   chan chan []extent
	done    chan struct{}
}

// storeRequest asks the owner goroutine to store an answer.
type storeRequest struct {
	answer *wire.Answer
	reply  chan error
}

// lookupRequest asks the owner goroutine for the location of an answer.
type lookupRequest struct {
	key   key
	reply chan location
}

// state is owned by the goroutine that executes run.
type state struct {
	folder    string
	logger    log.Interface
	locations map[key]location
	// In order of creation.
	files []*file
	// The file that records are appended to, which is the last one of files. It
	// is nil before the first store, after a failed write and after it expired.
	current        *file
	currentCreated time.Time
	// Sequence number in the name of the next file.
	nextSequence uint64
}

// New opens the folder, creating it if necessary, and rebuilds the index. The
// owner goroutine ends with ctx.
func New(ctx context.Context, folder string, logger log.Interface) (*Log, error) {
	e := os.MkdirAll(folder, 0o700)
	if e != nil {
		return nil, e
	}
	t := &state{folder: folder, logger: logger, locations: map[key]location{}, nextSequence: 1}
	p, e := listFiles(folder)
	if e != nil {
		return nil, e
	}
	d := 0
	for _, f := range p {
		n, e := t.loadFile(f)
		if e != nil {
			return nil, e
		}
		d += n
		i, e := strconv.ParseUint(strings.TrimSuffix(filepath.Base(f), fileSuffix), 10, 64)
		if e == nil {
			t.nextSequence = max(t.nextSequence, i+1)
		}
	}
	logger.WithFields(log.Fields{"answers": len(t.locations), "files": len(p), "damaged": d}).Info("answer: data folder opened")
	s := &Log{logger: logger, stores: make(chan storeRequest), lookups: make(chan lookupRequest), scans: make(chan chan []extent), done: make(chan struct{})}
	go s.run(ctx, t)
	return s, nil
}

// Store stores an answer unless there is one for its caller and request id. It
// returns the answer that is kept for them, once it is on disk. After an error,
// the answer may or may not be found after a restart.
func (s *Log) Store(ctx context.Context, answer *wire.Answer) (*wire.StoredAnswer, error) {
	r := make(chan error, 1)
	select {
	case s.stores <- storeRequest{answer, r}:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.done:
		return nil, os.ErrClosed
	}
	// The owner goroutine replies to every store request that it has received.
	e := <-r
	if e != nil {
		return nil, e
	}
	return s.Read(ctx, answer.GetCaller(), answer.GetRequestId())
}

// Read returns the answer stored for a caller and request id. The error has the
// code "answer-missing" if there is none or its record is damaged.
func (s *Log) Read(ctx context.Context, caller, requestID string) (*wire.StoredAnswer, error) {
	p, e := s.locate(ctx, caller, requestID)
	if e != nil {
		return nil, e
	}
	if p.file == nil {
		return nil, trail.NewError("answer-missing", trail.NotRun, "no answer is stored")
	}
	a, _, e := readRecord(p.file.handle, p.offset)
	if e != nil || a.GetCaller() != caller || a.GetRequestId() != requestID {
		s.logger.WithFields(log.Fields{"request-id": requestID, "file": p.file.handle.Name()}).Error("answer: stored record is damaged")
		return nil, trail.NewError("answer-missing", trail.NotRun, "the stored answer is damaged")
	}
	return a.GetStored(), nil
}

// locate returns the location of an answer. Its file is nil if no answer is
// stored.
func (s *Log) locate(ctx context.Context, caller, requestID string) (location, error) {
	r := lookupRequest{keyOf(caller, requestID), make(chan location, 1)}
	select {
	case s.lookups <- r:
		return <-r.reply, nil
	case <-ctx.Done():
		return location{}, ctx.Err()
	case <-s.done:
		return location{}, os.ErrClosed
	}
}
