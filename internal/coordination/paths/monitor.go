package paths

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"

	trail "bulrushtrail.example/trail"
)

const (
	// A sound backend server may be silent for a second.
	silenceTime = 1300 * time.Millisecond
	// Time between two looks for silent servers while one owes an answer.
	checkInterval = 250 * time.Millisecond
	// Servers that fail or are silent at the same time before the monitor grows
	// suspicious, or all of them if there are fewer.
	suspiciousServers = 2
	// Failures longer ago speak for nothing.
	failureMemory = 2 * time.Second
	// Servers to which the monitor connects to find out, and its time for each.
	probedServers = 3
	probeTimeout  = 400 * time.Millisecond
	// Time between two such probes.
	probeInterval = 400 * time.Millisecond
	// Probes in a row that must succeed before the paths count as back.
	returnProbes = 2
	// Time without another probe after one that has found a path.
	clearedTime = 500 * time.Millisecond
)

// Monitor makes the connections to backend servers and watches them. It implements
// trail.Dialer. Its methods are safe for concurrent use.
type Monitor struct {
	// Ends the probes.
	ctx    context.Context
	dialer trail.Dialer
	// Returns the addresses of up to n random backend servers.
	servers func(n int) []string
	// Called after each change, with whether the paths are lost.
	onChange  func(lost bool)
	logger    log.Interface
	startedAt time.Time
	// When a byte came from any server, as time since startedAt.
	heardAt atomic.Int64
	lost    atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
	// Servers to which no connection could be made since the last one that was
	// made, by address.
	failedDials map[string]time.Time
	checkDue    bool
	// Closed at the end of the probe that is under way, nil if there is none.
	probing chan struct{}
	// A probe has found a path at this time.
	clearedAt time.Time
}

var _ trail.Dialer = (*Monitor)(nil)

// New returns a monitor that connects with dialer. It probes until ctx ends.
func New(ctx context.Context, dialer trail.Dialer, servers func(n int) []string, onChange func(lost bool), logger log.Interface) *Monitor {
	return &Monitor{
		ctx: ctx, dialer: dialer, servers: servers, onChange: onChange, logger: logger, startedAt: time.Now(),
		conns: map[*conn]struct{}{}, failedDials: map[string]time.Time{},
	}
}

// Lost reports whether this front reaches no backend server.
func (m *Monitor) Lost() bool { return m.lost.Load() }

func (m *Monitor) elapsed() time.Duration { return time.Since(m.startedAt) }

// DialContext connects to a backend server.
func (m *Monitor) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	n, e := m.dialer.DialContext(ctx, network, address)
	if e != nil {
		if ctx.Err() != context.Canceled {
			m.recordFailedDial(address)
		}
		return nil, e
	}
	c := &conn{Conn: n, monitor: m, address: address}
	m.mu.Lock()
	m.conns[c] = struct{}{}
	clear(m.failedDials)
	m.mu.Unlock()
	if s, o := n.(syscall.Conn); o {
		return socket{c, s}, nil
	}
	return c, nil
}

func (m *Monitor) forget(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, c)
}

// recordFailedDial records that no connection to a server could be made.
func (m *Monitor) recordFailedDial(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := time.Now()
	m.failedDials[address] = o
	for a, t := range m.failedDials {
		if o.Sub(t) > failureMemory {
			delete(m.failedDials, a)
		}
	}
	m.suspect(len(m.failedDials))
}

// scheduleCheck makes the monitor look for silent servers soon.
func (m *Monitor) scheduleCheck() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.checkDue {
		return
	}
	m.checkDue = true
	time.AfterFunc(checkInterval, m.checkSilence)
}

// checkSilence counts the servers that owe an answer for longer than a sound server
// is silent, if no server has sent anything for so long.
func (m *Monitor) checkSilence() {
	m.mu.Lock()
	m.checkDue = false
	b := m.elapsed() - silenceTime
	s := map[string]bool{}
	// Whether a server owes an answer.
	w := false
	for c := range m.conns {
		t, o := c.waitingSince()
		w = w || o
		if o && t <= b {
			s[c.address] = true
		}
	}
	if time.Duration(m.heardAt.Load()) <= b {
		m.suspect(len(s))
	}
	m.mu.Unlock()
	if w {
		m.scheduleCheck()
	}
}

// suspect starts a probe if as many servers fail or are silent as make the monitor
// suspicious. The caller holds the lock.
func (m *Monitor) suspect(servers int) {
	if servers == 0 || m.probing != nil || m.lost.Load() || time.Since(m.clearedAt) < clearedTime {
		return
	}
	if servers < min(suspiciousServers, len(m.servers(suspiciousServers))) {
		return
	}
	m.probing = make(chan struct{})
	go m.probeOnce()
}

// probeOnce finds out whether the paths are lost.
func (m *Monitor) probeOnce() {
	r := m.probe()
	m.mu.Lock()
	if r {
		m.clearedAt = time.Now()
		clear(m.failedDials)
	}
	m.mu.Unlock()
	if !r {
		m.setLost(true)
		go m.awaitReturn()
	}
	m.mu.Lock()
	close(m.probing)
	m.probing = nil
	m.mu.Unlock()
}

// probe connects to some servers and reports whether one of them can be reached.
// Without known servers, none is unreachable.
func (m *Monitor) probe() bool {
	c, f := context.WithTimeout(m.ctx, probeTimeout)
	defer f()
	l := m.servers(probedServers)
	r := make(chan bool, len(l))
	for _, a := range l {
		go func() {
			n, e := m.dialer.DialContext(c, "tcp", a)
			if e == nil {
				_ = n.Close()
			}
			r <- e == nil
		}()
	}
	for range l {
		if <-r {
			return true
		}
	}
	return len(l) == 0
}

// awaitReturn probes until the servers can be reached again.
func (m *Monitor) awaitReturn() {
	for n := 0; n < returnProbes; {
		select {
		case <-time.After(probeInterval):
		case <-m.ctx.Done():
			return
		}
		n++
		if !m.probe() {
			n = 0
		}
	}
	m.setLost(false)
}

func (m *Monitor) setLost(lost bool) {
	m.mu.Lock()
	clear(m.failedDials)
	m.clearedAt = time.Time{}
	m.mu.Unlock()
	m.lost.Store(lost)
	if lost {
		m.logger.Warn("paths: no backend server can be reached, requests go through other fronts")
	} else {
		m.logger.Info("paths: backend servers can be reached again")
	}
	m.onChange(lost)
}

// Settle waits for a probe that is under way, until ctx ends, and reports whether
// the paths are lost.
func (m *Monitor) Settle(ctx context.Context) bool {
	m.mu.Lock()
	p := m.probing
	m.mu.Unlock()
	if p != nil {
		select {
		case <-p:
		case <-ctx.Done():
		}
	}
	return m.lost.Load()
}
