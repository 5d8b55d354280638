package answer

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const fileSuffix = ".answers"

// file is one append-only file.
type file struct {
	f *os.File
	// Bytes that hold acknowledged records.
	size int64
	// Latest expiry of its records, Unix time in milliseconds.
	expires int64
	keys    []key
}

// location is where a record is.
type location struct {
	f      *file
	offset int64
}

// names returns the paths of the folder's files in the order of creation.
func names(folder string) ([]string, error) {
	d, e := os.ReadDir(folder)
	if e != nil {
		return nil, e
	}
	var l []string
	for _, f := range d {
		if strings.HasSuffix(f.Name(), fileSuffix) {
			l = append(l, filepath.Join(folder, f.Name()))
		}
	}
	return l, nil
}

// create opens a new file whose name sorts after the earlier ones.
func create(folder string, sequence uint64) (*file, error) {
	f, e := os.OpenFile(filepath.Join(folder, fmt.Sprintf("%016d%s", sequence, fileSuffix)),
		os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
	if e != nil {
		return nil, e
	}
	d, e := os.Open(folder)
	if e != nil {
		return nil, errors.Join(e, f.Close())
	}
	e = errors.Join(d.Sync(), d.Close())
	if e != nil {
		return nil, errors.Join(e, f.Close())
	}
	return &file{f: f}, nil
}

// load indexes the intact records of a file and returns how many were damaged.
func (t *state) load(path string) (damaged int, e error) {
	f, e := os.Open(path)
	if e != nil {
		return 0, e
	}
	w := &file{f: f}
	for {
		a, n, e := readRecord(f, w.size)
		if e == errHeader {
			break
		}
		if e != nil {
			damaged++
		} else {
			t.index(w, w.size, keyOf(a.GetCaller(), a.GetRequestId()), a.GetStored().GetExpiresUnixMs())
		}
		w.size += n
	}
	i, e := f.Stat()
	if e != nil {
		return 0, e
	}
	if w.size < i.Size() {
		damaged++
	}
	t.files = append(t.files, w)
	return damaged, nil
}

// index enters a record unless an earlier one has its key.
func (t *state) index(f *file, offset int64, k key, expires int64) {
	f.expires = max(f.expires, expires)
	if _, o := t.places[k]; o {
		return
	}
	t.places[k] = location{f, offset}
	f.keys = append(f.keys, k)
}

// expire removes the files whose answers have all expired. A reader that still
// has one open finds its answer missing.
func (t *state) expire(unixMs int64) error {
	var l []*file
	var r []error
	for _, f := range t.files {
		if f.expires >= unixMs || f == t.current && time.Since(t.created) < maxFileAge {
			l = append(l, f)
			continue
		}
		if f == t.current {
			t.current = nil
		}
		for _, k := range f.keys {
			delete(t.places, k)
		}
		r = append(r, os.Remove(f.f.Name()), f.f.Close())
	}
	t.files = l
	return errors.Join(r...)
}
