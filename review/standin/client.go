//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// Time for which clients wait for an answer on a batch job.
	callTimeout = 4 * time.Second
	// Id of the batch job of a case that has one.
	jobID = "7c41e09b52d6a3f8"
)

// answer is what a client gets.
type answer struct {
	status int
	header http.Header
	body   []byte
	// Why there is no complete answer.
	err error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	b := strings.TrimSpace(string(a.body))
	if len(b) > 100 {
		b = b[:100] + "..."
	}
	return fmt.Sprintf("%d %s", a.status, b)
}

// send sends one request on a new channel.
func send(method, front, host, target string, header map[string]string, body []byte, timeout time.Duration) answer {
	c, f := context.WithTimeout(context.Background(), timeout)
	defer f()
	q, e := http.NewRequestWithContext(c, method, "http://"+front+target, bytes.NewReader(body))
	if e != nil {
		return answer{err: e}
	}
	q.Host = host
	for k, v := range header {
		q.Header.Set(k, v)
	}
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	r, e := t.RoundTrip(q)
	if e != nil {
		return answer{err: e}
	}
	defer func() { _ = r.Body.Close() }()
	b, e := io.ReadAll(r.Body)
	return answer{status: r.StatusCode, header: r.Header, body: b, err: e}
}

// jobClient hands batch jobs in and reads them.
type jobClient struct {
	*record
	host   string
	prefix string
}

type jobItem struct {
	ID      string            `json:"Id"`
	Path    string            `json:"Path"`
	Headers map[string]string `json:"Headers"`
	Body    []byte            `json:"Body"`
	Tokens  int               `json:"Tokens"`
}

// newItems returns items of a job, which are named after it.
func (c *jobClient) newItems(job string, count int) []jobItem {
	l := make([]jobItem, 0, count)
	for n := range count {
		i := fmt.Sprintf("%sa%02d", job, n)
		l = append(l, jobItem{
			ID: i, Path: c.prefix + "3/" + i, Body: []byte("prompt of " + i), Tokens: 500,
			Headers: map[string]string{"X-Model": "m", "X-Token-Usage": "350,150", "X-Prompt-Prefix": "5c1e07a2:100," + i + ":250"},
		})
	}
	return l
}

// submit hands a job in, again at the next front after a failure, and returns whether
// it was accepted.
func (c *jobClient) submit(fronts []*front, job string, items []jobItem) bool {
	b, e := json.Marshal(map[string]any{"Items": items})
	if e != nil {
		return false
	}
	h := map[string]string{"X-Attempt-Id": job, "Content-Type": "application/json", "X-Time-Budget-Ms": "4000"}
	for _, f := range fronts {
		a := send(http.MethodPost, f.api, c.host, c.prefix+job, h, b, callTimeout)
		c.add("client: job %s with %d items to %s: %s", job, len(items), f.name, a)
		if a.err == nil && a.status == http.StatusAccepted {
			return true
		}
	}
	return false
}

// results is what a client reads of a job.
type results struct {
	Total     int
	NextToken int
	Results   []struct{ ID, State, Output string }
}

// read reads the results of a job from a position on. The answer is that of the front.
func (c *jobClient) read(f *front, job string, after int, wait time.Duration) (results, answer) {
	h := map[string]string{"X-Wait-Ms": strconv.FormatInt(wait.Milliseconds(), 10)}
	a := send(http.MethodGet, f.api, c.host, "/lots/"+job+"?After="+strconv.Itoa(after), h, nil, wait+1500*time.Millisecond)
	var r results
	if a.err == nil && a.status == http.StatusOK {
		a.err = json.Unmarshal(a.body, &r)
	}
	return r, a
}

// readAll reads a job at a front about twice a second until count results are listed or
// the time is over. It returns the results by item.
func (c *jobClient) readAll(f *front, job string, count int, limit time.Duration) map[string]string {
	m := map[string]string{}
	n := 0
	for b := time.Now(); time.Since(b) < limit && len(m) < count; time.Sleep(500 * time.Millisecond) {
		r, a := c.read(f, job, n, time.Second)
		if a.err != nil || a.status != http.StatusOK {
			c.add("client: results of job %s after %d at %s: %s", job, n, f.name, a)
			continue
		}
		for _, x := range r.Results {
			c.add("client: %s lists item %s at position %d: %s", f.name, x.ID, n, x.State)
			m[x.ID] = x.State
			n++
		}
	}
	c.add("client: %d of %d results of job %s read at %s", len(m), count, job, f.name)
	return m
}
