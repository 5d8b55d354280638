package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"bulrushtrail.example/trail/internal/standin/ports"
)

// Limits of a front's machine and bounds, as on the installations in force.
const (
	frontMemoryMB = 134
	graceSeconds  = 8
	valueBytes    = 1 << 20
	writesPerS    = 400
	readsPerS     = 2000
)

// Command of the role in the deploy file.
var frontCommand = []string{"target/bulrushd", "front"}

// front is a front machine with one process at a time.
type front struct {
	rig     *rig
	name    string
	gate    *gate
	path    string
	api     string
	ready   string
	cmd     *exec.Cmd
	exited  chan struct{}
	logFile string
}

// addFront starts a front that reaches the store through a gate of its own.
func (r *rig) addFront(name, zone string) *front {
	l, e := ports.Free(3)
	if e != nil {
		panic(e)
	}
	f := &front{rig: r, name: name, gate: newGate(r, name), api: fmt.Sprintf("127.0.0.1:%d", l[0]), ready: fmt.Sprintf("127.0.0.1:%d", l[1])}
	f.path = filepath.Join(r.folder, name+".json")
	f.logFile = filepath.Join(r.folder, name+".log")
	v, e := json.Marshal(map[string]any{
		"name": name, "data-centre": zone, "api-address": f.api, "ready-address": f.ready, "host-address": "127.0.0.1", "peer-port": l[2],
		"store-address": f.gate.address, "writes-per-second": writesPerS, "reads-per-second": readsPerS,
		"value-bytes": valueBytes, "memory-mb": frontMemoryMB, "stop-seconds": graceSeconds,
	})
	if e != nil {
		panic(e)
	}
	e = os.WriteFile(f.path, v, 0o600)
	if e != nil {
		panic(e)
	}
	r.fronts = append(r.fronts, f)
	f.start()
	return f
}

// start starts the front's process with the command of the deploy file.
func (f *front) start() {
	o, e := os.OpenFile(f.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if e != nil {
		panic(e)
	}
	f.cmd = exec.Command(frontCommand[0], frontCommand[1:]...)
	f.cmd.Env = append(os.Environ(), "BULRUSHTRAIL_BOOT="+f.path)
	f.cmd.Stdout, f.cmd.Stderr = o, o
	e = f.cmd.Start()
	if e != nil {
		panic(e)
	}
	f.exited = make(chan struct{})
	go func(c *exec.Cmd, d chan struct{}) {
		_ = c.Wait()
		_ = o.Close()
		close(d)
	}(f.cmd, f.exited)
	f.rig.note("front %s: process started", f.name)
}

func (f *front) signal(s syscall.Signal) {
	f.rig.note("front %s: %s", f.name, s)
	_ = f.cmd.Process.Signal(s)
}

func (f *front) kill() {
	select {
	case <-f.exited:
		return
	default:
	}
	_ = f.cmd.Process.Kill()
	<-f.exited
}

func (f *front) isReady() bool {
	c := http.Client{Timeout: time.Second}
	a, e := c.Get("http://" + f.ready + "/ready")
	if e != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

func (f *front) awaitReady() {
	f.rig.await(f.name+" is ready", f.isReady)
	f.rig.note("front %s: ready", f.name)
}

// isOpen reports whether the front takes connections of callers.
func (f *front) isOpen() bool {
	n, e := net.DialTimeout("tcp", f.api, time.Second)
	if e != nil {
		return false
	}
	_ = n.Close()
	return true
}

// noteLog adds the lines of the front's log that hold one of the words to the record.
// They only explain; nothing is judged by them.
func (f *front) noteLog(words ...string) {
	b, e := os.ReadFile(f.logFile)
	if e != nil {
		return
	}
	for _, t := range strings.Split(string(b), "\n") {
		for _, w := range words {
			if strings.Contains(t, w) {
				f.rig.note("log of %s: %s", f.name, t)
				break
			}
		}
	}
}
