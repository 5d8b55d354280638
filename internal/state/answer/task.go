package answer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

func (s *Log) run(ctx context.Context, state *state) {
	defer close(s.done)
	defer state.close()
	w := time.NewTicker(expiryInterval)
	defer w.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-s.lookups:
			r.reply <- state.locations[r.key]
		case r := <-s.scans:
			r <- state.extents()
		case a := <-s.stores:
			state.commit(s.collectBatch(a))
		case <-w.C:
			e := state.expire(time.Now().UnixMilli())
			if e != nil {
				s.logger.WithError(e).Error("answer: removing expired files failed")
			}
		}
	}
}

// collectBatch returns the first store request and those that are pending, up to
// maxBatch in total.
func (s *Log) collectBatch(first storeRequest) []storeRequest {
	l := []storeRequest{first}
	for len(l) < maxBatch {
		select {
		case a := <-s.stores:
			l = append(l, a)
		default:
			return l
		}
	}
	return l
}

// commit appends the answers that are the first for their keys with one sync, and
// replies to all requests of the batch.
func (t *state) commit(batch []storeRequest) {
	e := t.appendBatch(batch)
	if e != nil {
		t.logger.WithError(e).Error("answer: writing a batch failed")
		t.retireCurrent()
	}
	for _, a := range batch {
		a.reply <- e
	}
}

// retireCurrent stops appending to the current file after a failed write. It
// truncates the file to the acknowledged records: the answers of the failed write
// were not acknowledged, and others may be stored for the same keys.
func (t *state) retireCurrent() {
	if t.current == nil {
		return
	}
	e := errors.Join(t.current.handle.Truncate(t.current.size), t.current.handle.Sync())
	if e != nil {
		t.logger.WithError(e).Error("answer: truncating the file after a failed write failed")
	}
	t.current = nil
}

func (t *state) appendBatch(batch []storeRequest) error {
	type entry struct {
		key     key
		offset  int64
		expires int64
	}
	var b []byte
	var l []entry
	m := map[key]bool{}
	e := t.rotate()
	if e != nil {
		return e
	}
	for _, a := range batch {
		k := keyOf(a.answer.GetCaller(), a.answer.GetRequestId())
		if _, o := t.locations[k]; o || m[k] {
			continue
		}
		r, e := encodeRecord(a.answer)
		if e != nil {
			return e
		}
		m[k] = true
		l = append(l, entry{k, t.current.size + int64(len(b)), a.answer.GetStored().GetExpiresUnixMs()})
		b = append(b, r...)
	}
	if len(l) == 0 {
		return nil
	}
	_, e = t.current.handle.WriteAt(b, t.current.size)
	if e != nil {
		return e
	}
	e = t.current.handle.Sync()
	if e != nil {
		return e
	}
	for _, n := range l {
		t.indexRecord(t.current, n.offset, n.key, n.expires)
	}
	t.current.size += int64(len(b))
	return nil
}

// rotate creates a new current file if there is none or if it has reached its
// maximum size or age.
func (t *state) rotate() error {
	if t.current != nil && t.current.size < maxFileBytes && time.Since(t.currentCreated) < maxFileAge {
		return nil
	}
	f, e := createFile(t.folder, t.nextSequence)
	if e != nil {
		return e
	}
	t.nextSequence++
	t.current, t.currentCreated = f, time.Now()
	t.files = append(t.files, f)
	return nil
}

func (t *state) close() {
	for _, f := range t.files {
		_ = f.handle.Close()
	}
}
