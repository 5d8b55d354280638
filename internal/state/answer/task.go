package answer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

func (s *Log) run(c context.Context, t *state) {
	defer close(s.done)
	defer t.close()
	w := time.NewTicker(expiryPeriod)
	defer w.Stop()
	for {
		select {
		case <-c.Done():
			return
		case r := <-s.reads:
			r.reply <- t.places[r.k]
		case r := <-s.scans:
			r <- t.extents()
		case a := <-s.stores:
			t.commit(s.gather(a))
		case <-w.C:
			e := t.expire(time.Now().UnixMilli())
			if e != nil {
				s.l.WithError(e).Error("answer: expired file stays")
			}
		}
	}
}

// gather returns the first store and those that wait with it.
func (s *Log) gather(first store) []store {
	l := []store{first}
	for len(l) < maxGroup {
		select {
		case a := <-s.stores:
			l = append(l, a)
		default:
			return l
		}
	}
	return l
}

// commit appends the answers that are the first for their keys, syncs once and
// replies to all.
func (t *state) commit(group []store) {
	e := t.append(group)
	if e != nil {
		t.l.WithError(e).Error("answer: write failed")
		t.retire()
	}
	for _, a := range group {
		a.reply <- e
	}
}

// retire ends a file whose last write failed. What that write left is cut off,
// because its answers were not acknowledged and others may take their place.
func (t *state) retire() {
	if t.current == nil {
		return
	}
	e := errors.Join(t.current.f.Truncate(t.current.size), t.current.f.Sync())
	if e != nil {
		t.l.WithError(e).Error("answer: failed write could not be cut off")
	}
	t.current = nil
}

func (t *state) append(group []store) error {
	type entry struct {
		k       key
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
	for _, a := range group {
		k := keyOf(a.a.GetCaller(), a.a.GetRequestId())
		if _, o := t.places[k]; o || m[k] {
			continue
		}
		r, e := encode(a.a)
		if e != nil {
			return e
		}
		m[k] = true
		l = append(l, entry{k, t.current.size + int64(len(b)), a.a.GetStored().GetExpiresUnixMs()})
		b = append(b, r...)
	}
	if len(l) == 0 {
		return nil
	}
	_, e = t.current.f.WriteAt(b, t.current.size)
	if e != nil {
		return e
	}
	e = t.current.f.Sync()
	if e != nil {
		return e
	}
	for _, n := range l {
		t.index(t.current, n.offset, n.k, n.expires)
	}
	t.current.size += int64(len(b))
	return nil
}

// rotate makes sure that there is a file which takes new records.
func (t *state) rotate() error {
	if t.current != nil && t.current.size < maxFileBytes && time.Since(t.created) < maxFileAge {
		return nil
	}
	f, e := create(t.folder, t.sequence)
	if e != nil {
		return e
	}
	t.sequence++
	t.current, t.created = f, time.Now()
	t.files = append(t.files, f)
	return nil
}

func (t *state) close() {
	for _, f := range t.files {
		_ = f.f.Close()
	}
}
