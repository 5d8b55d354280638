//go:build review3

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
	begin  time.Time
}

func newRecord(path string) (*record, error) {
	f, e := os.Create(path)
	if e != nil {
		return nil, e
	}
	return &record{file: f, writer: bufio.NewWriter(f), begin: time.Now()}, nil
}

// add adds a line with the time since the start in seconds.
func (r *record) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%8.3f "+format+"\n", append([]any{time.Since(r.begin).Seconds()}, arguments...)...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
