package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"bulrushtrail.example/trail/platform/double"
)

// Time in which a step that needs no trouble must have happened.
const stepTimeout = 30 * time.Second

// rig is a small deployment on loopback addresses.
type rig struct {
	// The case plays its disruption.
	trouble bool
	folder  string
	store   *double.Platform
	// Runs are left out of the record.
	quiet bool
	// Address of the store itself.
	storeAt string
	began   time.Time
	servers []*http.Server
	fronts  []*front
	runners []*runner

	mu     sync.Mutex
	file   *os.File
	record *bufio.Writer
}

func newRig(path string, trouble bool) (*rig, error) {
	f, e := os.Create(path)
	if e != nil {
		return nil, e
	}
	d, e := os.MkdirTemp("", "rig")
	if e != nil {
		return nil, e
	}
	r := &rig{trouble: trouble, folder: d, store: double.New(), began: time.Now(), file: f, record: bufio.NewWriter(f)}
	r.note("trouble: %v", trouble)
	return r, nil
}

// note writes a line to the record, with the seconds since the start of the case.
func (r *rig) note(text string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(text, arguments...))
}

// close ends all processes and servers of the case.
func (r *rig) close() {
	for _, f := range r.fronts {
		f.kill()
	}
	for _, s := range r.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(r.folder)
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.record.Flush()
	_ = r.file.Close()
}

// serve serves a handler at a free port of a loopback address and returns its address.
func (r *rig) serve(ip string, handler http.Handler) string {
	n, e := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if e != nil {
		panic(e)
	}
	s := &http.Server{Handler: handler}
	r.servers = append(r.servers, s)
	go func() { _ = s.Serve(n) }()
	return n.Addr().String()
}

// await waits until a condition is met. Without trouble all conditions of a case are.
func (r *rig) await(what string, met func() bool) {
	d := time.Now().Add(stepTimeout)
	for !met() {
		if time.Now().After(d) {
			panic("not met in time: " + what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
