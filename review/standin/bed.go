//go:build review

package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"bulrushtrail.example/trail/internal/standin/ports"
	"bulrushtrail.example/trail/platform/double"
)

const (
	loopback = "127.0.0.1"
	// Ports for callers, for readiness checks and for the other fronts.
	portsPerFront = 3
	// Limit of the wait until all fronts are ready.
	startTimeout = 20 * time.Second
	// Time between the start of the machines and that of the traffic.
	warmUp = 4 * time.Second
	// Warnings of each front that the record holds.
	loggedWarnings = 12
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// bed is a small deployment on loopback: one front in each zone, the platform and
// backend servers.
type bed struct {
	*record
	trouble  bool
	folder   string
	platform *double.Platform
	store    string
	fronts   []*front
	engines  []*engine

	closeOnce sync.Once
}

// newBed starts the platform with an empty store.
func newBed(r *record, trouble bool) (*bed, error) {
	d, e := os.MkdirTemp("", "review")
	if e != nil {
		return nil, e
	}
	b := &bed{record: r, trouble: trouble, folder: d, platform: double.New()}
	b.store, e = serve(b.platform)
	return b, e
}

// serve serves a handler on a free loopback port and returns its address.
func serve(handler http.Handler) (string, error) {
	l, e := net.Listen("tcp", loopback+":0")
	if e != nil {
		return "", e
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// setConfig writes a configuration as the operator does.
func (b *bed) setConfig(version int, routes string) {
	b.platform.Put("config", "main", fmt.Sprintf(`{"Version":%d,"Routes":[%s],"Services":[{"Name":"assistant","HealthPath":"/health","MaxConns":160,"Protocol":"h1","Tls":false,`+
		`"Engine":{"KvCapacity":%d,"KvTokenBytes":35136,"LinkMbps":1100000.0,"Moves":true,"Backups":true,"Models":[{"Name":"m"}]}}],`+
		`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`, version, routes, engineTokens))
	b.add("operator: config version %d acknowledged by the store, routes %s", version, routes)
}

// addEngines starts and registers backend servers of the service assistant.
func (b *bed) addEngines(count int, behaviour engineBehaviour) error {
	for n := range count {
		g := &engine{record: b.record, id: fmt.Sprintf("i-%d", n+1), behaviour: behaviour}
		a, e := serve(g)
		if e != nil {
			return e
		}
		b.engines = append(b.engines, g)
		b.platform.Put("servers", g.id, fmt.Sprintf(`{"Service":"assistant","Address":%q,"Zone":%q,"Version":"v1","Slots":%d,"State":"ready","ColdLeftMs":0,"Sequence":1}`,
			a, zones[n%len(zones)], behaviour.slots))
	}
	return nil
}

// startFronts starts one front in each zone, waits until all are ready, and then until
// the traffic may start.
func (b *bed) startFronts() error {
	// All at once, so that no two fronts get the same.
	p, e := ports.Free(portsPerFront * len(zones))
	if e != nil {
		return e
	}
	for n, z := range zones {
		f, e := newFront(b, "front-"+z, z, p[n*portsPerFront:])
		if e != nil {
			return e
		}
		b.fronts = append(b.fronts, f)
		e = f.start()
		if e != nil {
			return e
		}
	}
	for _, f := range b.fronts {
		e := f.awaitReady()
		if e != nil {
			return e
		}
	}
	time.Sleep(warmUp)
	b.add("all fronts are ready, traffic starts")
	return nil
}

// close ends all processes that the case started and removes its folder.
func (b *bed) close() {
	b.closeOnce.Do(func() {
		for _, f := range b.fronts {
			f.kill()
		}
		_ = os.RemoveAll(b.folder)
	})
}

// addLogs adds the last warnings of the fronts to the record.
func (b *bed) addLogs() {
	for _, f := range b.fronts {
		l, e := os.ReadFile(f.logPath)
		if e != nil {
			continue
		}
		var w [][]byte
		for _, x := range bytes.Split(l, []byte("\n")) {
			if bytes.Contains(x, []byte(`"level":"warn"`)) || bytes.Contains(x, []byte(`"level":"error"`)) {
				w = append(w, x)
			}
		}
		b.add("%s wrote %d warnings, the last ones:", f.name, len(w))
		for _, x := range w[max(len(w)-loggedWarnings, 0):] {
			b.add("  %s", x)
		}
	}
}

// front is a front that one process runs.
type front struct {
	*record
	name         string
	api, ready   string
	settingsPath string
	logPath      string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// newFront writes the settings of a front, which takes the first portsPerFront ports.
func newFront(b *bed, name, zone string, free []int) (*front, error) {
	f := &front{
		record: b.record, name: name, api: fmt.Sprintf("%s:%d", loopback, free[0]), ready: fmt.Sprintf("%s:%d", loopback, free[1]),
		settingsPath: filepath.Join(b.folder, name+".json"), logPath: filepath.Join(b.folder, name+".log"),
	}
	s, e := renderSettings(frontValues(name, zone, f.api, f.ready, b.store, free[2]))
	if e != nil {
		return nil, e
	}
	return f, os.WriteFile(f.settingsPath, s, 0o600)
}

// start starts a process of the front with the command of the deploy file.
func (f *front) start() error {
	c, e := frontCommand()
	if e != nil {
		return e
	}
	l, e := os.OpenFile(f.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if e != nil {
		return e
	}
	defer func() { _ = l.Close() }()
	p := exec.Command(c[0], c[1:]...)
	p.Env = append(os.Environ(), "BULRUSHTRAIL_BOOT="+f.settingsPath)
	p.Stdout, p.Stderr = l, l
	// The kernel ends the front if this program is killed.
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	e = p.Start()
	if e != nil {
		return e
	}
	x := make(chan struct{})
	go func() {
		_ = p.Wait()
		close(x)
	}()
	f.mu.Lock()
	f.cmd, f.exited = p, x
	f.mu.Unlock()
	f.add("%s: process %d started", f.name, p.Process.Pid)
	return nil
}

func (f *front) awaitReady() error {
	c := http.Client{Timeout: time.Second}
	for t := time.Now(); time.Since(t) < startTimeout; time.Sleep(50 * time.Millisecond) {
		r, e := c.Get("http://" + f.ready + "/ready")
		if e != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.Newf("%s is not ready after %s", f.name, startTimeout)
}

// kill ends the process and waits until it has exited.
func (f *front) kill() {
	f.mu.Lock()
	c, x := f.cmd, f.exited
	f.mu.Unlock()
	if c != nil {
		_ = c.Process.Kill()
		<-x
	}
}
