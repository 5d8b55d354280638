//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	markupJobItems = 120
	// Largest value of an object in bytes, as the settings state it.
	valueBytes = 1 << 20
)

// valueLimit refuses writes of objects that are larger than the store takes.
func (b *bed) valueLimit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v, e := io.ReadAll(r.Body)
		if e != nil {
			return
		}
		if len(v) > valueBytes {
			b.add("store: %s %s with %d bytes refused", r.Method, r.URL.Path, len(v))
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(v))
		next.ServeHTTP(w, r)
	})
}

// markupOutput has the items of a large job answered with markup instead of plain text.
func markupOutput(b *bed) (string, error) {
	a, e := serve(b.valueLimit(b.platform))
	if e != nil {
		return "", e
	}
	b.store = a
	t := strings.Repeat("12 strainers, ", 6)
	if b.trouble {
		t = strings.Repeat("<td>12</td>", 7)
	}
	b.setConfig(1, askRoute+","+jobsRoute)
	e = b.addEngines(4, engineBehaviour{slots: 8, events: 100, interval: 10 * time.Millisecond, text: t})
	if e == nil {
		e = b.startFronts()
	}
	if e != nil {
		return "", e
	}
	c := &jobClient{record: b.record, host: jobsHost, prefix: "/jobs/"}
	if !c.submit(b.fronts, jobID, c.newItems(jobID, markupJobItems)) {
		return "", errors.New("job was not accepted")
	}
	m := c.readAll(b.fronts[1], jobID, markupJobItems, 2*finish)
	if len(m) == markupJobItems {
		return "", nil
	}
	return fmt.Sprintf("LOST: %d items of an open batch job are listed neither as done nor as dead_letter, though all were run to their end", markupJobItems-len(m)), nil
}
