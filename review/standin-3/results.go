//go:build review3

package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	resultsPath = "/lots/"
	// Events of an item, as the sheet gives them.
	itemEvents = 154
	// Items of the job; the pages allow 200.
	jobItems = 100
	// Callers that read its results at the same time.
	slowReaders = 200
)

// submit submits a batch job of a number of items and returns its id and
// those of its items.
func (p *play) submit(f *front, items int) (job string, ids []string) {
	type item struct {
		ID      string `json:"Id"`
		Path    string
		Headers map[string]string
		Body    []byte
		Tokens  int
	}
	var l []item
	n := cmp.Or(p.itemEvents, itemEvents)
	for range items {
		l = append(l, item{randomID(), "/pule252/3/91c4", map[string]string{
			"X-Model": "m", "X-Token-Usage": fmt.Sprintf("350,%d", 2*n), "X-Prompt-Prefix": "9c2e41:100," + randomID()[:6] + ":250", headerEvents: fmt.Sprint(n),
		}, make([]byte, 500), 350 + 2*n})
	}
	for _, x := range l {
		ids = append(ids, x.ID)
	}
	b, e := json.Marshal(map[string]any{"Items": l})
	check(e)
	i := randomID()
	q, e := http.NewRequest(http.MethodPost, "http://"+f.apiAddress+"/pule252/1", strings.NewReader(string(b)))
	check(e)
	q.Host = callerHost
	q.Header.Set("X-Attempt-Id", i)
	r, e := client.Do(q)
	check(e)
	_ = r.Body.Close()
	p.record.add("batch job %s of %d items sent to %s, status %d", i, items, f.name, r.StatusCode)
	if r.StatusCode != http.StatusAccepted {
		panic(fmt.Sprint("batch job not accepted: ", r.StatusCode))
	}
	return i, ids
}

// listed returns the ids of the items of a job that have a result.
func (p *play) listed(f *front, job string) []string {
	var l []string
	for n := 0; ; {
		t, x, k := p.readResults(f, job, n)
		l = append(l, k.ids...)
		if x == n || x == t {
			p.record.add("batch job %s: %d of %d items listed at %s", job, x, t, f.name)
			return l
		}
		n = x
	}
}

// readAll reads the results of a job from the start until all are there, and returns the
// bytes of the first answer with all that fit.
func (p *play) readAll(f *front, job string, timeout time.Duration) int {
	for b := time.Now(); time.Since(b) < timeout; time.Sleep(500 * time.Millisecond) {
		n, k := 0, 0
		for {
			t, x, z := p.readResults(f, job, n)
			if n == 0 {
				k = z.bytes
			}
			if x == t {
				return k
			}
			if x == n {
				break
			}
			n = x
		}
	}
	panic("batch job has not ended in time")
}

// page is an answer with results.
type page struct {
	bytes int
	ids   []string
}

// readResults reads the results of a job from a position on, and returns the number of
// items and the next position.
func (p *play) readResults(f *front, job string, after int) (total, next int, read page) {
	q, e := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s%s%s?After=%d", f.apiAddress, resultsPath, job, after), nil)
	check(e)
	q.Host = callerHost
	r, e := client.Do(q)
	check(e)
	defer func() { _ = r.Body.Close() }()
	b, e := io.ReadAll(r.Body)
	check(e)
	var v struct {
		Total, NextToken int
		Results          []struct {
			ID string `json:"Id"`
		}
	}
	check(json.Unmarshal(b, &v))
	read.bytes = len(b)
	for _, x := range v.Results {
		read.ids = append(read.ids, x.ID)
	}
	return v.Total, v.NextToken, read
}

// resultsMemory watches the memory of a front from which many callers read the results
// of one batch job, a byte a second.
func resultsMemory(p *play) (string, bool) {
	p.startSite(0)
	f := p.fronts[0]
	j, _ := p.submit(f, jobItems)
	z := p.readAll(f, j, 40*time.Second)
	n, _ := f.memoryKB()
	p.record.add("batch job %s has ended, an answer with its results has %d bytes, memory of %s: %.1f MB", j, z, f.name, float64(n)/1024)
	for k := range slowReaders {
		go p.readSlowly(f, j, k)
		time.Sleep(20 * time.Millisecond)
	}
	s, d := p.watchMemory(15 * time.Second)
	return fmt.Sprintf("%s, with %d readers of an answer of %d bytes", s, slowReaders, z), d
}

// readSlowly asks for the results of a job on a connection of its own, and reads a byte a
// second; without the disruption it reads all at once.
func (p *play) readSlowly(f *front, job string, number int) {
	d := net.Dialer{Timeout: 5 * time.Second}
	n, e := d.Dial("tcp", f.apiAddress)
	if e != nil {
		p.record.add("reader %d: %v", number, e)
		return
	}
	defer func() { _ = n.Close() }()
	if p.trouble {
		_ = n.(*net.TCPConn).SetReadBuffer(4 << 10)
	}
	_, e = fmt.Fprintf(n, "GET %s%s?After=0 HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", resultsPath, job, callerHost)
	p.record.add("reader %d: results of %s asked at %s, error: %v", number, job, f.name, e)
	if !p.trouble {
		z, e := io.Copy(io.Discard, n)
		p.record.add("reader %d: %d bytes read, error: %v", number, z, e)
		return
	}
	b := make([]byte, 1)
	for z := 0; e == nil; z++ {
		time.Sleep(time.Second)
		_, e = n.Read(b)
		if e != nil {
			p.record.add("reader %d: %d bytes read, error: %v", number, z, e)
		}
	}
}
