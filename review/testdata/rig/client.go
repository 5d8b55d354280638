package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Host of all routes.
const callerHost = "ficu95.example"

// answer is an answer that a caller got. Its status is 0 if there was none.
type answer struct {
	status int
	body   []byte
}

// call makes one call at a front on a new channel.
func (f *front) call(method, path, id string, body []byte, headers map[string]string, limit time.Duration) answer {
	c, s := context.WithTimeout(context.Background(), limit)
	defer s()
	q, e := http.NewRequestWithContext(c, method, "http://"+f.api+path, bytes.NewReader(body))
	if e != nil {
		panic(e)
	}
	q.Host = callerHost
	if id != "" {
		q.Header.Set("X-Attempt-Id", id)
	}
	for k, v := range headers {
		q.Header.Set(k, v)
	}
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	a, e := t.RoundTrip(q)
	if e != nil {
		f.rig.note("client: %s %s %s at %s: no answer (%v)", method, path, id, f.name, e)
		return answer{}
	}
	defer func() { _ = a.Body.Close() }()
	b, e := io.ReadAll(a.Body)
	if e != nil {
		f.rig.note("client: %s %s %s at %s: %d, cut", method, path, id, f.name, a.StatusCode)
		return answer{}
	}
	return answer{a.StatusCode, b}
}

// batchItem is an item as a client submits it.
type batchItem struct {
	ID      string            `json:"Id"`
	Path    string            `json:"Path"`
	Headers map[string]string `json:"Headers"`
	Body    string            `json:"Body"`
	Tokens  int               `json:"Tokens"`
}

// batchJob is a batch job as a client knows it.
type batchJob struct {
	id    string
	path  string
	items []batchItem
	// When it was first sent.
	sentAt time.Time
}

// newJob returns a job of some items under the prefix of a route.
func newJob(id, prefix string, items int) *batchJob {
	j := &batchJob{id: id, path: prefix + id}
	for n := range items {
		i := fmt.Sprintf("%si%02d", id, n)
		j.items = append(j.items, batchItem{
			ID: i, Path: prefix + "run/" + i, Tokens: 540,
			Headers: map[string]string{"X-Model": "m", "X-Token-Usage": "300,240", "X-Prompt-Prefix": "9c2e41:100," + i + ":200"},
			Body:    base64.StdEncoding.EncodeToString([]byte("body of " + i)),
		})
	}
	return j
}

// submit submits a job at a front and returns the status.
func (f *front) submit(j *batchJob) int {
	b, e := json.Marshal(map[string]any{"Items": j.items})
	if e != nil {
		panic(e)
	}
	if j.sentAt.IsZero() {
		j.sentAt = time.Now()
	}
	a := f.call(http.MethodPost, j.path, j.id, b, map[string]string{"Content-Type": "application/json", "X-Time-Budget-Ms": "4000"}, 4*time.Second)
	f.rig.note("client: job %s with %d items, %d bytes, at %s: %d", j.id, len(j.items), len(b), f.name, a.status)
	return a.status
}

// jobResult is one listed result.
type jobResult struct {
	ID     string `json:"Id"`
	State  string `json:"State"`
	Output string `json:"Output"`
}

// jobPage is the answer to a read of results.
type jobPage struct {
	Total     int
	NextToken int
	Results   []jobResult
}

// read reads the results of a job from a position on.
func (f *front) read(id string, after int) (jobPage, int) {
	a := f.call(http.MethodGet, fmt.Sprintf("/lots/%s?After=%d", id, after), "", nil, map[string]string{"X-Wait-Ms": "1000"}, 2500*time.Millisecond)
	var p jobPage
	if a.status == http.StatusOK && json.Unmarshal(a.body, &p) != nil {
		panic("results are not JSON")
	}
	if len(p.Results) > 0 || a.status != http.StatusOK {
		f.rig.note("client: results of %s from %d on at %s: %d, %d results of %d", id, after, f.name, a.status, len(p.Results), p.Total)
	}
	return p, a.status
}
