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
	// A longer line does not fit into a call.
	maxLineBytes    = 8 << 20
	inputBufferSize = 64 << 10
)

// line is one message of the input: an item, or the end.
type line struct {
	item *item
	// Set at the end.
	end   bool
	count int
}

// input reads the items of a job's file that are not done.
type input struct {
	store trail.Store
	bulk  trail.BulkStore
	job   *wire.Job
	lines chan line
	// Errors of reads, which are repeated. trail.ErrNotFound is the last one.
	faults chan error
}

func newInput(s trail.Store, b trail.BulkStore, j *wire.Job) *input {
	return &input{store: s, bulk: b, job: j, lines: make(chan line), faults: make(chan error)}
}

// run sends lines until the end of the file or of c.
func (n *input) run(c context.Context) {
	f := n.file(c)
	if f == nil {
		return
	}
	r := bufio.NewReaderSize(&concat{c: c, n: n, left: f.GetSegments()}, inputBufferSize)
	i := 0
	for {
		b, o, e := readLine(r)
		b = bytes.TrimSpace(b)
		if len(b) > 0 {
			if !isDone(n.job.GetDone(), i) && !n.send(c, line{item: newItem(i, b, o)}) {
				return
			}
			i++
		}
		if e != nil {
			break
		}
	}
	if c.Err() == nil {
		n.send(c, line{end: true, count: i})
	}
}

func newItem(i int, b []byte, long bool) *item {
	if long {
		return &item{index: i, fault: &fault{"item-too-large", "the line is too long"}}
	}
	return parse(i, b)
}

func (n *input) send(c context.Context, l line) bool {
	select {
	case n.lines <- l:
		return true
	case <-c.Done():
		return false
	}
}

// fail reports an error and waits before the next try. It returns false when c
// has ended.
func (n *input) fail(c context.Context, e error, tries int) bool {
	select {
	case n.faults <- e:
	case <-c.Done():
		return false
	}
	t := time.NewTimer(backoff(tries, n.job.GetId()))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.Done():
		return false
	}
}

// file returns the job's input file, nil when there is none or c has ended.
func (n *input) file(c context.Context) *wire.File {
	for i := 1; ; i++ {
		o, e := n.store.Get(c, kindFiles, n.job.GetInputFileId())
		f := &wire.File{}
		if e == nil {
			e = o.Decode(f)
		}
		if e == nil {
			return f
		}
		if !n.fail(c, e, i) || errors.Is(e, trail.ErrNotFound) {
			return nil
		}
	}
}

// readLine returns a line without its line feed. Of a line that is too long it
// returns the start.
func readLine(r *bufio.Reader) (b []byte, long bool, e error) {
	for {
		p, e := r.ReadSlice('\n')
		if len(b)+len(p) > maxLineBytes {
			long = true
		} else {
			b = append(b, p...)
		}
		if !errors.Is(e, bufio.ErrBufferFull) {
			return b, long, e
		}
	}
}

// concat reads segments one after the other and repeats what fails from where
// it failed.
type concat struct {
	c    context.Context
	n    *input
	left []*wire.Segment
	// The first of left, nil when it is not open.
	r io.ReadCloser
	// Bytes of the first of left that were returned.
	offset int64
	tries  int
}

func (r *concat) Read(p []byte) (int, error) {
	for len(r.left) > 0 {
		if r.c.Err() != nil {
			return 0, r.c.Err()
		}
		k, e := r.part(p)
		r.offset += int64(k)
		if e == io.EOF {
			_ = r.r.Close()
			r.r, r.left, r.offset = nil, r.left[1:], 0
			e = nil
		}
		if k > 0 {
			r.tries = 0
			return k, nil
		}
		if e == nil {
			continue
		}
		if r.r != nil {
			_ = r.r.Close()
			r.r = nil
		}
		r.tries++
		if !r.n.fail(r.c, e, r.tries) {
			return 0, r.c.Err()
		}
	}
	return 0, io.EOF
}

// part reads from the first segment.
func (r *concat) part(p []byte) (int, error) {
	if r.r == nil {
		o, e := r.n.bulk.Get(r.c, r.left[0], r.offset, 0)
		if e != nil {
			return 0, e
		}
		r.r = o
	}
	return r.r.Read(p)
}
