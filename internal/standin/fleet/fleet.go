package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

const (
	// Operator key of the deployments that this package starts.
	operatorKey  = "operator"
	readyPath    = "/readyz"
	readyTimeout = 30 * time.Second
	readyPeriod  = 50 * time.Millisecond
	// Graceful shutdown of one process.
	stopTimeout = 30 * time.Second
)

// Last octets of the IP addresses: that of the platform, and those of the first
// process of each role and of the first backend server.
const (
	platformOctet     = 10
	firstSchedOctet   = 20
	firstDepotOctet   = 40
	firstEntryOctet   = 60
	firstBackendOctet = 101
)

// program returns the path and the extra environment with which a program is
// run, "bulrushtrail" or "standin".
type program = func(name string) (path string, environment []string)

// Fleet is a running deployment. Its methods are for one goroutine.
type Fleet struct {
	plan *plan
	// First three octets of all IP addresses, different for each test process.
	network string
	// Holds logs, settings and data folders.
	folder  string
	program program
	// In the order of their start.
	processes []*process
	backends  []backend
}

// New prepares the deployment of a plan file without starting anything.
// Folder is for logs, settings and data. Program returns the path and extra
// environment of "bulrushtrail" and "standin".
func New(file, folder string, program func(name string) (string, []string)) (*Fleet, error) {
	p, e := readPlan(file)
	if e != nil {
		return nil, e
	}
	n := os.Getpid()
	f := &Fleet{plan: p, folder: folder, program: program, network: fmt.Sprintf("127.%d.%d", 16+n>>8%200, n&255)}
	f.backends = p.backends(f.network)
	b, e := json.Marshal(p.Callers)
	if e != nil {
		return nil, e
	}
	return f, os.WriteFile(f.path("callers.json"), b, 0o600)
}

func (f *Fleet) path(name string) string { return filepath.Join(f.folder, name) }

// Start starts all processes and returns when each is ready.
func (f *Fleet) Start(ctx context.Context) error {
	f.add("platform", "standin", f.PlatformURL()+"/control/faults", "platform", "-address", f.platformAddress(), "-host-lag", "100ms")
	for _, b := range f.backends {
		a := []string{"plain", "-address", b.address, "-runs-file", f.path(b.name + ".runs")}
		if b.model != "" {
			a = []string{"engine", "-address", b.address, "-model", b.model}
		}
		f.add(b.name, "standin", "http://"+b.address+"/control/runs", a...)
	}
	e := f.startAll(ctx, f.processes)
	if e != nil {
		return e
	}
	for _, b := range f.backends {
		e = f.SetHost(ctx, b.name, true, false)
		if e != nil {
			return e
		}
	}
	n := len(f.processes)
	for i := range f.plan.Scheds {
		f.addMember("sched", firstSchedOctet+i, i)
	}
	for i := range f.plan.Depots {
		f.addMember("depot", firstDepotOctet+i, i, "-data-folder", f.path(fmt.Sprintf("data-%d", i+1)))
	}
	k := []string{"-callers-file", f.path("callers.json")}
	if len(f.plan.Callers) == 0 {
		k = []string{"-unnamed-callers"}
	}
	for i := range f.plan.Entries {
		a := fmt.Sprintf("%s.%d:8080", f.network, firstEntryOctet+i)
		f.addMember("entry", firstEntryOctet+i, i, append(k, "-http-address", a, "-operator-key", operatorKey)...)
	}
	return f.startAll(ctx, f.processes[n:])
}

// addMember adds a process of the system in a role. Its IP address ends with
// lastOctet, and index, counted from 0, is its place among those of the role.
func (f *Fleet) addMember(role string, lastOctet, index int, arguments ...string) {
	h := fmt.Sprintf("%s.%d", f.network, lastOctet)
	n := fmt.Sprintf("%s-%d", role, index+1)
	a := append([]string{
		role, "-member-id", n, "-data-centre", f.plan.DataCentres[index%len(f.plan.DataCentres)],
		"-peer-address", f.peerAddress(lastOctet), "-admin-address", h + ":7001", "-platform-url", f.PlatformURL(),
		"-peers", f.peerAddress(firstSchedOctet) + "," + f.peerAddress(firstSchedOctet+1),
	}, arguments...)
	f.add(n, "bulrushtrail", "http://"+h+":7001"+readyPath, a...)
}

func (f *Fleet) peerAddress(lastOctet int) string {
	return fmt.Sprintf("%s.%d:7000", f.network, lastOctet)
}

func (f *Fleet) platformAddress() string {
	return fmt.Sprintf("%s.%d:8000", f.network, platformOctet)
}

func (f *Fleet) add(name, program, readyURL string, arguments ...string) {
	f.processes = append(f.processes, &process{name: name, program: program, readyURL: readyURL, arguments: arguments, logFile: f.path(name + ".log")})
}

func (f *Fleet) startAll(ctx context.Context, processes []*process) error {
	for _, p := range processes {
		e := p.start(f.program)
		if e != nil {
			return e
		}
	}
	for _, p := range processes {
		e := p.wait(ctx)
		if e != nil {
			return e
		}
	}
	return nil
}

func (f *Fleet) process(name string) *process {
	i := slices.IndexFunc(f.processes, func(p *process) bool { return p.name == name })
	if i < 0 {
		panic("fleet: no process " + name)
	}
	return f.processes[i]
}

// Names returns the names of all processes whose name begins with prefix.
func (f *Fleet) Names(prefix string) []string {
	var l []string
	for _, p := range f.processes {
		if len(p.name) > len(prefix) && strings.HasPrefix(p.name, prefix) {
			l = append(l, p.name)
		}
	}
	return l
}

// Kill kills a process.
func (f *Fleet) Kill(name string) { f.process(name).kill() }

// Freeze stops a process from running until Thaw.
func (f *Fleet) Freeze(name string) { f.process(name).freeze() }

// Thaw continues a frozen process.
func (f *Fleet) Thaw(name string) { f.process(name).thaw() }

// Terminate asks a process to shut down gracefully and returns its exit error.
func (f *Fleet) Terminate(name string) error { return f.process(name).terminate() }

// Restart starts a process that has ended and waits until it is ready.
func (f *Fleet) Restart(ctx context.Context, name string) error {
	p := f.process(name)
	e := p.start(f.program)
	if e != nil {
		return e
	}
	return p.wait(ctx)
}

// Stop shuts all processes down gracefully, in an order in which each can
// still reach what it needs: entries, schedulers, depots, stand-ins.
func (f *Fleet) Stop() error {
	var l []error
	for _, r := range []string{"entry-", "sched-", "depot-"} {
		for _, n := range f.Names(r) {
			e := f.process(n).terminate()
			if e != nil {
				l = append(l, fmt.Errorf("%s: %w", n, e))
			}
		}
	}
	f.Close()
	if len(l) > 0 {
		return fmt.Errorf("processes did not shut down gracefully: %v", l)
	}
	return nil
}

// Close kills the processes that still run.
func (f *Fleet) Close() {
	for _, p := range f.processes {
		p.kill()
	}
}

// PlatformURL returns the URL of the platform.
func (f *Fleet) PlatformURL() string { return "http://" + f.platformAddress() }

// EntryURL returns the URL of an entry, counted from 1.
func (f *Fleet) EntryURL(number int) string {
	return fmt.Sprintf("http://%s.%d:8080", f.network, firstEntryOctet+number-1)
}

// AdminURL returns the URL of the metrics and health checks of a process of
// the system.
func (f *Fleet) AdminURL(name string) string {
	return strings.TrimSuffix(f.process(name).readyURL, readyPath)
}

// OperatorKey returns the key of the operators' API.
func (f *Fleet) OperatorKey() string { return operatorKey }

// BackendURL returns the URL of a backend server.
func (f *Fleet) BackendURL(name string) string {
	for _, b := range f.backends {
		if b.name == name {
			return "http://" + b.address
		}
	}
	panic("fleet: no backend server " + name)
}

// Log returns what a process has logged so far.
func (f *Fleet) Log(name string) string {
	b, _ := os.ReadFile(f.process(name).logFile)
	return string(b)
}

// SetHost changes a backend server in the platform's host list.
func (f *Fleet) SetHost(ctx context.Context, name string, ready, leaving bool) error {
	i := slices.IndexFunc(f.backends, func(b backend) bool { return b.name == name })
	b := f.backends[i]
	v := map[string]any{
		"name": b.name, "service": b.service, "data-centre": b.dataCentre, "address": b.address, "ready": ready, "leaving": leaving,
	}
	return f.Control(ctx, http.MethodPut, f.PlatformURL()+"/control/hosts/"+name, v)
}

// AddHost lists a backend server a second time, under another name at the same address.
func (f *Fleet) AddHost(ctx context.Context, name, alias string) error {
	i := slices.IndexFunc(f.backends, func(b backend) bool { return b.name == name })
	b := f.backends[i]
	v := map[string]any{
		"name": alias, "service": b.service, "data-centre": b.dataCentre, "address": b.address, "ready": true, "leaving": false,
	}
	return f.Control(ctx, http.MethodPut, f.PlatformURL()+"/control/hosts/"+alias, v)
}

// Control sends a JSON document to the control interface of a stand-in. A
// response with a status other than 2xx is an error.
func (f *Fleet) Control(ctx context.Context, method, url string, document any) error {
	b, e := json.Marshal(document)
	if e != nil {
		return e
	}
	q, e := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(b))
	if e != nil {
		return e
	}
	q.Header.Set("Content-Type", "application/json")
	a, e := http.DefaultClient.Do(q)
	if e != nil {
		return e
	}
	defer a.Body.Close()
	b, _ = io.ReadAll(a.Body)
	if a.StatusCode/100 != 2 {
		return fmt.Errorf("%s answered %s: %s", url, a.Status, b)
	}
	return nil
}
