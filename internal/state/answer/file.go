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

// file is an append-only file of answer records.
type file struct {
	handle *os.File
	// Length of the part that holds acknowledged records.
	size int64
	// Latest expiry time among the records.
	expiresUnixMs int64
	keys          []key
}

// location is the position of a record.
type location struct {
	file   *file
	offset int64
}

// listFiles returns the paths of the folder's answer files in order of creation.
func listFiles(folder string) ([]string, error) {
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

// createFile creates a file whose name sorts after those of earlier files, and
// syncs the folder.
func createFile(folder string, sequence uint64) (*file, error) {
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
	return &file{handle: f}, nil
}

// loadFile indexes the intact records of a file and returns the number of damaged
// ones. An unreadable rest of the file counts as one.
func (t *state) loadFile(path string) (damaged int, e error) {
	f, e := os.Open(path)
	if e != nil {
		return 0, e
	}
	w := &file{handle: f}
	for {
		a, n, e := readRecord(f, w.size)
		if e == errCorruptHeader {
			break
		}
		if e != nil {
			damaged++
		} else {
			t.indexRecord(w, w.size, keyOf(a.GetCaller(), a.GetRequestId()), a.GetStored().GetExpiresUnixMs())
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

// indexRecord adds a record to the index unless its key is already present.
func (t *state) indexRecord(file *file, offset int64, key key, expiresUnixMs int64) {
	file.expiresUnixMs = max(file.expiresUnixMs, expiresUnixMs)
	if _, o := t.locations[key]; o {
		return
	}
	t.locations[key] = location{file, offset}
	file.keys = append(file.keys, key)
}

// expire removes the files whose answers have all expired. A read that is in
// progress on a removed file reports its answer as missing.
func (t *state) expire(nowUnixMs int64) error {
	var l []*file
	var r []error
	for _, f := range t.files {
		if f.expiresUnixMs >= nowUnixMs || f == t.current && time.Since(t.currentCreated) < maxFileAge {
			l = append(l, f)
			continue
		}
		if f == t.current {
			t.current = nil
		}
		for _, k := range f.keys {
			delete(t.locations, k)
		}
		r = append(r, os.Remove(f.handle.Name()), f.handle.Close())
	}
	t.files = l
	return errors.Join(r...)
}
