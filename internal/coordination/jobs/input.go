package jobs

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// Longer lines do not fit into a call.
	maxLineBytes    = 8 << 20
	inputBufferSize = 64 << 10
)

// inputLine is one message of the input reader: an item, or the end of the
// input.
type inputLine struct {
	item *batchItem
	// Set in the last message, together with the number of items in the input.
	end       bool
	itemCount int
}

// inputReader reads a job's input file and sends the items that are not done.
type inputReader struct {
	store trail.Store
	bulk  trail.BulkStore
	job   *wire.Job
	lines chan inputLine
	// Failed reads, which are retried except when the input file was not found
	// (trail.ErrNotFound).
	readErrors chan error
}

func newInputReader(store trail.Store, bulk trail.BulkStore, job *wire.Job) *inputReader {
	return &inputReader{store: store, bulk: bulk, job: job, lines: make(chan inputLine), readErrors: make(chan error)}
}

// run sends lines until the file or ctx ends.
func (n *inputReader) run(ctx context.Context) {
	f := n.loadFile(ctx)
	if f == nil {
		return
	}
	r := bufio.NewReaderSize(&segmentReader{ctx: ctx, input: n, remaining: f.GetSegments()}, inputBufferSize)
	i := 0
	for {
		b, o, e := readLine(r)
		b = bytes.TrimSpace(b)
		if len(b) > 0 {
			if !isDone(n.job.GetDone(), i) && !n.send(ctx, inputLine{item: newItem(i, b, o)}) {
				return
			}
			i++
		}
		if e != nil {
			break
		}
	}
	if ctx.Err() == nil {
		n.send(ctx, inputLine{end: true, itemCount: i})
	}
}

func newItem(index int, text []byte, tooLong bool) *batchItem {
	if tooLong {
		return &batchItem{index: index, err: &itemError{"item-too-large", "the line is too long"}}
	}
	return parseItem(index, text)
}

func (n *inputReader) send(ctx context.Context, next inputLine) bool {
	select {
	case n.lines <- next:
		return true
	case <-ctx.Done():
		return false
	}
}

// retryAfterError reports an error and waits for the backoff before the next
// try. It returns false when ctx has ended.
func (n *inputReader) retryAfterError(ctx context.Context, err error, failures int) bool {
	select {
	case n.readErrors <- err:
	case <-ctx.Done():
		return false
	}
	t := time.NewTimer(backoff(failures, n.job.GetId()))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// loadFile returns the job's input file, nil when there is none or ctx has
// ended.
func (n *inputReader) loadFile(ctx context.Context) *wire.File {
	for i := 1; ; i++ {
		o, e := n.store.Get(ctx, kindFiles, n.job.GetInputFileId())
		f := &wire.File{}
		if e == nil {
			e = o.Decode(f)
		}
		if e == nil {
			return f
		}
		if !n.retryAfterError(ctx, e, i) || errors.Is(e, trail.ErrNotFound) {
			return nil
		}
	}
}

// readLine returns the next line with its line feed. Of a line longer than
// maxLineBytes it returns only a part.
func readLine(reader *bufio.Reader) (text []byte, tooLong bool, err error) {
	for {
		p, e := reader.ReadSlice('\n')
		if len(text)+len(p) > maxLineBytes {
			tooLong = true
		} else {
			text = append(text, p...)
		}
		if !errors.Is(e, bufio.ErrBufferFull) {
			return text, tooLong, e
		}
	}
}

// segmentReader reads segments one after the other. After an error it retries
// at the offset that it has reached.
type segmentReader struct {
	ctx       context.Context
	input     *inputReader
	remaining []*wire.Segment
	// Reader of the first remaining segment, nil when none is open.
	current io.ReadCloser
	// Bytes of the first remaining segment that were returned already.
	offset   int64
	failures int
}

func (r *segmentReader) Read(buffer []byte) (int, error) {
	for len(r.remaining) > 0 {
		if r.ctx.Err() != nil {
			return 0, r.ctx.Err()
		}
		k, e := r.readCurrent(buffer)
		r.offset += int64(k)
		if e == io.EOF {
			_ = r.current.Close()
			r.current, r.remaining, r.offset = nil, r.remaining[1:], 0
			e = nil
		}
		if k > 0 {
			r.failures = 0
			return k, nil
		}
		if e == nil {
			continue
		}
		if r.current != nil {
			_ = r.current.Close()
			r.current = nil
		}
		r.failures++
		if !r.input.retryAfterError(r.ctx, e, r.failures) {
			return 0, r.ctx.Err()
		}
	}
	return 0, io.EOF
}

// readCurrent reads from the first remaining segment and opens it if necessary.
func (r *segmentReader) readCurrent(buffer []byte) (int, error) {
	if r.current == nil {
		o, e := r.input.bulk.Get(r.ctx, r.remaining[0], r.offset, 0)
		if e != nil {
			return 0, e
		}
		r.current = o
	}
	return r.current.Read(buffer)
}
