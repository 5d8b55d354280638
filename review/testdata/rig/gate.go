package main

import (
	"context"
	"io"
	"log"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
)

// gate is the platform's store as one front reaches it.
type gate struct {
	rig     *rig
	front   string
	address string
	proxy   *httputil.ReverseProxy

	mu sync.Mutex
	// The store turns the front away with 503.
	closed bool
	// Ends the calls that wait when the gate closes.
	ctx    context.Context
	cancel context.CancelFunc
}

func newGate(r *rig, front string) *gate {
	u, e := url.Parse("http://" + r.storeAddress())
	if e != nil {
		panic(e)
	}
	g := &gate{rig: r, front: front, proxy: httputil.NewSingleHostReverseProxy(u)}
	g.proxy.ErrorLog = log.New(io.Discard, "", 0)
	g.proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusServiceUnavailable) }
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.address = r.serve("127.0.0.1", g)
	return g
}

// set closes or opens the gate.
func (g *gate) set(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = closed
	if closed {
		g.cancel()
		g.rig.note("store: turns %s away with 503", g.front)
		return
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.rig.note("store: serves %s again", g.front)
}

func (g *gate) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	g.mu.Lock()
	s, x := g.closed, g.ctx
	g.mu.Unlock()
	if s {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	c, f := context.WithCancel(q.Context())
	defer f()
	// Only a watch that waits ends early; a call that has reached the store is done.
	if q.Method == http.MethodGet {
		defer context.AfterFunc(x, f)()
	}
	g.proxy.ServeHTTP(w, q.WithContext(c))
}

// storeAddress returns the address of the store itself, which it starts at first.
func (r *rig) storeAddress() string {
	if r.storeAt == "" {
		r.storeAt = r.serve("127.0.0.1", r.store)
	}
	return r.storeAt
}
