package fleet_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bulrushtrail.example/trail/internal/standin/fleet"
)

const (
	modelService = "asistente-lm"
	// Period of a balancer's health checks.
	healthPeriod = 50 * time.Millisecond
	// Streams that take longer than the drain delay.
	longTokens  = 150
	shortTokens = 8
)

// balancer sends requests to the entries that are ready, as the platform's
// load balancer does, on connections that it keeps open.
type balancer struct {
	urls []string
	// Whether the last health check of an entry found it ready.
	ready []atomic.Bool
	next  atomic.Uint64
	k     http.Client

	m sync.Mutex
	// Requests answered in full, by kind.
	answered map[string]int
	// Requests that were refused as not run, and those that were cut.
	refused, cut []string
}

// balance starts the health checks, which end with c.
func balance(c context.Context, x *fleet.Fleet) *balancer {
	n := x.Names("entry-")
	b := &balancer{ready: make([]atomic.Bool, len(n)), k: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}, answered: map[string]int{}}
	for i := range n {
		b.urls = append(b.urls, x.EntryURL(i+1))
		b.ready[i].Store(true)
		u := x.AdminURL(n[i]) + "/readyz"
		go func() {
			for c.Err() == nil {
				a, e := http.Get(u)
				if e == nil {
					_ = a.Body.Close()
				}
				b.ready[i].Store(e == nil && a.StatusCode == http.StatusOK)
				time.Sleep(healthPeriod)
			}
		}()
	}
	return b
}

// send sends a request to one entry after the other until one of them accepts
// the connection.
func (b *balancer) send(c context.Context, path string, body []byte, key string) (*http.Response, error) {
	o := errors.New("no entry is ready")
	n := int(b.next.Add(1))
	for i := range b.urls {
		j := (n + i) % len(b.urls)
		if !b.ready[j].Load() {
			continue
		}
		a, e := b.sendTo(c, b.urls[j], path, body, key)
		var d *net.OpError
		if e == nil || !errors.As(e, &d) || d.Op != "dial" {
			return a, e
		}
		o = e
	}
	return nil, o
}

func (b *balancer) sendTo(c context.Context, entry, path string, body []byte, key string) (*http.Response, error) {
	r, e := http.NewRequestWithContext(c, http.MethodPost, entry+path, bytes.NewReader(body))
	if e != nil {
		return nil, e
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	r.Header.Set("Content-Type", "application/json")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	return b.k.Do(r)
}

// note keeps what became of a request. Complete says whether a body is the
// whole answer.
func (b *balancer) note(kind string, a *http.Response, e error, complete func(body string) bool) {
	var t []byte
	if e == nil {
		t, e = io.ReadAll(a.Body)
		_ = a.Body.Close()
	}
	b.m.Lock()
	defer b.m.Unlock()
	switch {
	case e != nil:
		b.cut = append(b.cut, kind+": "+e.Error())
	case a.StatusCode == http.StatusOK && complete(string(t)):
		b.answered[kind]++
	case a.Header.Get("Bulrushtrail-Verdict") == "not-run":
		b.refused = append(b.refused, fmt.Sprintf("%s: %s", kind, t))
	default:
		b.cut = append(b.cut, fmt.Sprintf("%s: %s: %s", kind, a.Status, t[max(0, len(t)-200):]))
	}
}

func question(text string, tokens int, stream bool) []byte {
	b, e := json.Marshal(map[string]any{
		"model": modelService, "max_tokens": tokens, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": text}},
	})
	if e != nil {
		panic(e)
	}
	return b
}

// whole says whether a stream has its tokens and its end.
func whole(tokens int) func(string) bool {
	return func(s string) bool {
		return strings.Count(s, `"content":`) >= tokens && strings.HasSuffix(strings.TrimSpace(s), "data: [DONE]")
	}
}

// drive sends requests of each kind, one after the other, until c ends.
func (b *balancer) drive(c context.Context, w *sync.WaitGroup) {
	var n atomic.Uint64
	l := map[string]func(i uint64){
		"question": func(i uint64) {
			a, e := b.send(context.Background(), "/v1/chat/completions", question(fmt.Sprint("question ", i), shortTokens, false), "")
			b.note("question", a, e, func(s string) bool { return strings.Contains(s, `"finish_reason":`) })
		},
		"stream": func(i uint64) {
			a, e := b.send(context.Background(), "/v1/chat/completions", question(fmt.Sprint("stream ", i), shortTokens, true), "")
			b.note("stream", a, e, whole(shortTokens))
		},
		"reorder": func(i uint64) {
			a, e := b.send(context.Background(), "/services/"+plainService+"/orders", []byte(`{"code":"COL-200"}`), fmt.Sprint("rolling-", i))
			b.note("reorder", a, e, func(s string) bool { return strings.Contains(s, "body-digest") })
		},
	}
	for _, f := range l {
		for range 2 {
			w.Go(func() {
				for c.Err() == nil {
					f(n.Add(1))
				}
			})
		}
	}
}

// opened is a stream of which the first event was received.
type opened struct {
	a     *http.Response
	first string
}

// open starts a long stream through an entry, counted from 0.
func (b *balancer) open(t *testing.T, entry int, text string) opened {
	t.Helper()
	a, e := b.sendTo(t.Context(), b.urls[entry], "/v1/chat/completions", question(text, longTokens, true), "")
	if e != nil {
		t.Fatal(e)
	}
	p := make([]byte, 1<<10)
	n, e := a.Body.Read(p)
	if e != nil {
		t.Fatal(e)
	}
	return opened{a, string(p[:n])}
}

// finish reads the stream to its end.
func (b *balancer) finish(o opened) {
	b.note("long stream", o.a, nil, func(s string) bool { return whole(longTokens)(o.first + s) })
}
