//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that holds what was sent, answered and run.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	f, e := os.Create(path)
	if e != nil {
		return nil, e
	}
	return &record{start: time.Now(), file: f}, nil
}

// elapsed returns the time since the start of the case.
func (r *record) elapsed() time.Duration { return time.Since(r.start) }

// add writes one line with the time in seconds, also to standard output.
func (r *record) add(text string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := fmt.Sprintf("%8.3f  %s\n", r.elapsed().Seconds(), fmt.Sprintf(text, arguments...))
	_, _ = r.file.WriteString(l)
	fmt.Print(l)
}
