//go:build review3

package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// herdReaders is the number of callers that read at the same time.
const herdReaders = 200

// readHerd watches the memory of a front that has not seen a finished batch job, while
// many callers ask it for the results at the same moment and read at once.
func readHerd(p *play) (string, bool) {
	p.startSite(0)
	j, _ := p.submit(p.fronts[0], jobItems)
	z := p.readAll(p.fronts[0], j, 40*time.Second)
	time.Sleep(2 * time.Second)
	f := p.fronts[1]
	n, _ := f.memoryKB()
	p.record.add("batch job %s has ended, memory of %s: %.1f MB", j, f.name, float64(n)/1024)
	var w sync.WaitGroup
	for k := range herdReaders {
		if !p.trouble {
			time.Sleep(30 * time.Millisecond)
		}
		w.Go(func() { p.readOnce(f, j, k) })
	}
	w.Wait()
	s, d := p.watchMemory(2 * time.Second)
	return fmt.Sprintf("%s, with %d callers at once and answers of %d bytes", s, herdReaders, z), d
}

func (p *play) readOnce(f *front, job string, number int) {
	q, e := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s%s%s?After=0", f.apiAddress, resultsPath, job), nil)
	check(e)
	q.Host = callerHost
	q.Close = true
	r, e := client.Do(q)
	if e != nil {
		p.record.add("reader %d: %v", number, e)
		return
	}
	defer func() { _ = r.Body.Close() }()
	z, e := io.Copy(io.Discard, r.Body)
	p.record.add("reader %d: status %d, %d bytes, error: %v", number, r.StatusCode, z, e)
}
