//go:build review3

package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// How long a caller waits for the end of an answer beyond the timeout of the route, to
// see whether it comes at all.
const patience = 2 * time.Second

// answer is what a caller has seen of one request.
type answer struct {
	id     string
	front  string
	path   string
	sentAt time.Time
	// Time until the whole answer was there, or the connection was closed; 0 if neither
	// has happened while the caller waited.
	after  time.Duration
	status int
	err    error
}

func randomID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// client keeps connections open, as callers do.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200, DisableCompression: true}}

// freshClient opens a connection for each request.
var freshClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

func (t *traffic) client() *http.Client {
	if t.fresh {
		return freshClient
	}
	return client
}

// send sends a request to a front and waits until its answer is complete.
func (p *play) send(f *front, path, prefix string, timeout time.Duration, body string) answer {
	return p.sendOn(client, f, path, prefix, timeout, body)
}

func (p *play) sendOn(by *http.Client, f *front, path, prefix string, timeout time.Duration, body string) answer {
	a := answer{id: randomID(), front: f.name, path: path}
	c, d := context.WithTimeout(context.Background(), timeout+patience)
	defer d()
	q, e := http.NewRequestWithContext(c, http.MethodPost, "http://"+f.apiAddress+path, strings.NewReader(body))
	check(e)
	q.Host = callerHost
	q.Header.Set("X-Attempt-Id", a.id)
	q.Header.Set("X-Time-Budget-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	if prefix != "" {
		q.Header.Set("X-Model", "m")
		q.Header.Set("X-Token-Usage", "460,60")
		q.Header.Set("X-Prompt-Prefix", prefix)
	}
	a.sentAt = time.Now()
	r, e := by.Do(q)
	if e == nil {
		a.status = r.StatusCode
		_, e = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
	}
	a.err = e
	if c.Err() == nil {
		a.after = time.Since(a.sentAt)
	}
	p.record.add("sent %s to %s at %s prefix of %d bytes, status %d after %d ms, error: %v", path, a.front, a.id, len(prefix), a.status, a.after.Milliseconds(), e)
	return a
}

// traffic sends requests to a front at a fixed rate until ctx ends, and adds their
// answers to a list.
type traffic struct {
	play *play
	mu   sync.Mutex
	all  []answer
	wait sync.WaitGroup
	// Each request comes on a new connection.
	fresh bool
}

func (t *traffic) run(ctx context.Context, f *front, perSecond float64, path string, prefix func() string, timeout time.Duration) {
	t.wait.Go(func() {
		k := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer k.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-k.C:
			}
			t.wait.Go(func() {
				a := t.play.sendOn(t.client(), f, path+randomID()[:4], prefix(), timeout, "prompt")
				t.mu.Lock()
				t.all = append(t.all, a)
				t.mu.Unlock()
			})
		}
	})
}

// answers waits for all answers and returns them.
func (t *traffic) answers() []answer {
	t.wait.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.all
}

const (
	// Parts of a long prompt. Its prefix has nearly 15 KB, of 16 KB that the configuration
	// allows for the head of a request.
	longParts = 1_480
	// Tokens of each of its parts, so that the prompt has a sixth of the tokens for which
	// an engine has memory.
	partTokens = 16
)

// longPrefix returns a prompt prefix with a number of parts of one prompt, and its own
// last part.
func longPrefix(prompt, parts int) string {
	var b strings.Builder
	for n := range parts {
		_, _ = fmt.Fprintf(&b, "%06x:%d,", prompt<<16|n, partTokens)
	}
	_, _ = fmt.Fprintf(&b, "%s:%d", randomID()[:6], partTokens)
	return b.String()
}

// shortPrefix returns the prefix of an ordinary prompt.
func shortPrefix() string { return "0a07a2:100,0b3f06:100," + randomID()[:8] + ":250" }

func noPrefix() string { return "" }

// lookup reports whether the request was one to the plain service.
func (a answer) lookup() bool { return strings.HasPrefix(a.path, "/puxa403/") }

// distinctPrefix returns a prefix whose parts no other prompt has.
func distinctPrefix(prompt, parts int) string {
	var b strings.Builder
	for n := range parts {
		if n > 0 {
			b.WriteByte(',')
		}
		_, _ = fmt.Fprintf(&b, "%x:%d", prompt*parts+n+1, partTokens)
	}
	return b.String()
}
