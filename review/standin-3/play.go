//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"bulrushtrail.example/trail/platform/double"
)

const (
	callerHost = "ficu95.example"
	// Memory of a front and its descriptors on the smallest stated site.
	frontMemoryMB    = 134
	frontDescriptors = 4_100
	readyTimeout     = 15 * time.Second
)

// play is a small deployment and all that was started for it.
type play struct {
	root    string
	record  *record
	trouble bool

	folder   string
	platform *double.Platform
	store    *http.Server
	storeAt  string
	fronts   []*front

	// Events of an item of the next job.
	itemEvents int

	mu       sync.Mutex
	servers  []*backend
	itemRuns []*itemRun
}

// front is one process of the program.
type front struct {
	name         string
	apiAddress   string
	readyAddress string
	cmd          *exec.Cmd
	exited       chan struct{}
}

// check stops the case, which could not run.
func check(err error) {
	if err != nil {
		panic(err)
	}
}

// freePorts returns different ports that are free on an address, for TCP and UDP.
func freePorts(host string, count int) []int {
	var l []int
	for len(l) < count {
		t, e := net.Listen("tcp", host+":0")
		check(e)
		defer func() { _ = t.Close() }()
		u, e := net.ListenPacket("udp", t.Addr().String())
		if e != nil {
			continue
		}
		defer func() { _ = u.Close() }()
		l = append(l, t.Addr().(*net.TCPAddr).Port)
	}
	return l
}

// startPlatform starts the store with a configuration.
func (p *play) startPlatform(config string) {
	d, e := os.MkdirTemp("", "review-3-")
	check(e)
	p.folder = d
	p.platform = double.New()
	p.platform.Put("config", "main", config)
	l, e := net.Listen("tcp", "127.0.0.1:0")
	check(e)
	p.storeAt = l.Addr().String()
	p.store = &http.Server{Handler: p.platform}
	go func() { _ = p.store.Serve(l) }()
}

// startFronts starts one front in each zone, and waits until all are ready.
func (p *play) startFronts(zones ...string) {
	for n, z := range zones {
		// Addresses of its own, as the port of the metrics is fixed.
		p.startFront(fmt.Sprintf("front-%s-1", z), z, fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>8&0x7f, os.Getpid()&0xff, 11+n))
	}
	for _, f := range p.fronts {
		p.awaitReady(f)
	}
	// The fronts have heard each other after that, and count for limits.
	time.Sleep(3 * time.Second)
}

// startFront starts a front with the command and the template of the deploy file.
func (p *play) startFront(name, zone, host string) {
	t, e := os.ReadFile(filepath.Join(p.root, "deploy", "node.json"))
	check(e)
	l := freePorts(host, 3)
	f := &front{
		name: name, apiAddress: fmt.Sprintf("%s:%d", host, l[0]), readyAddress: fmt.Sprintf("%s:%d", host, l[1]),
		exited: make(chan struct{}),
	}
	s := strings.NewReplacer(
		"{{NodeName|json}}", strconv.Quote(name), "{{Zone|json}}", strconv.Quote(zone), "{{Listen.Front}}", f.apiAddress,
		"{{Listen.Ready}}", f.readyAddress, "{{Ip|json}}", strconv.Quote(host), "{{PortRange.0|json}}", strconv.Itoa(l[2]),
		"{{Provider.Address|json}}", strconv.Quote(p.storeAt), "{{Provider.WritesPerS|json}}", "400", "{{Provider.ReadsPerS|json}}", "2000",
		"{{Provider.ValueBytes|json}}", "1048576", "{{Limits.MemoryMb|json}}", strconv.Itoa(frontMemoryMB),
		"{{Limits.MaxFds|json}}", strconv.Itoa(frontDescriptors), "{{Bounds.GraceS|json}}", "8",
	).Replace(string(t))
	if !json.Valid([]byte(s)) {
		panic("settings are not JSON: " + s)
	}
	x := filepath.Join(p.folder, name+".json")
	check(os.WriteFile(x, []byte(s), 0o600))
	o, e := os.Create(filepath.Join(p.folder, name+".log"))
	check(e)
	f.cmd = exec.Command(filepath.Join(p.root, "target", "bulrushd"), "front")
	f.cmd.Dir = p.root
	// The platform shows a process one core.
	f.cmd.Env = []string{"BULRUSHTRAIL_BOOT=" + x, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOMAXPROCS=1"}
	f.cmd.Stdout, f.cmd.Stderr = o, o
	f.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(f.cmd.Start())
	p.fronts = append(p.fronts, f)
	p.record.add("front %s started", name)
	go func() {
		_ = f.cmd.Wait()
		_ = o.Close()
		close(f.exited)
	}()
}

func (p *play) awaitReady(f *front) {
	for b := time.Now(); time.Since(b) < readyTimeout; time.Sleep(50 * time.Millisecond) {
		r, e := http.Get("http://" + f.readyAddress + "/ready")
		if e != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return
		}
	}
	panic("front is not ready: " + f.name)
}

// hasExited reports whether a front has ended by itself.
func (f *front) hasExited() bool {
	select {
	case <-f.exited:
		return true
	default:
		return false
	}
}

// memoryKB returns the resident memory of a front now, and the most that it has had.
func (f *front) memoryKB() (now, most int) {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.cmd.Process.Pid))
	for l := range strings.Lines(string(b)) {
		w := strings.Fields(l)
		if len(w) < 2 {
			continue
		}
		n, _ := strconv.Atoi(w[1])
		switch w[0] {
		case "VmRSS:":
			now = n
		case "VmHWM:":
			most = n
		}
	}
	return now, most
}

// end ends all processes that were started.
func (p *play) end() {
	for _, f := range p.fronts {
		_ = f.cmd.Process.Kill()
		<-f.exited
	}
	p.mu.Lock()
	l := p.servers
	p.mu.Unlock()
	for _, s := range l {
		s.crash()
	}
	if p.store != nil {
		_ = p.store.Close()
	}
	if p.folder == "" {
		return
	}
	if k := os.Getenv("KEEP_LOGS"); k != "" {
		_ = os.CopyFS(k, os.DirFS(p.folder))
	}
	_ = os.RemoveAll(p.folder)
}
