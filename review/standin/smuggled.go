//go:build review

package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	smugglingJobItems = 20
	// Ids of the requests that no client sent.
	smuggledInPath = "5bd1e07a2f3c9146"
	smuggledInBody = "6ce2f18b304da257"
)

// head returns the beginning of a request, up to the line with its id.
func head(path, id string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Model: m\r\nX-Token-Usage: 350,150\r\nX-Attempt-Id: %s\r\n", path, jobsHost, id)
}

// smugglingItems has two items of a job hold another request each, one in its path and
// one in its body.
func smugglingItems(b *bed) (string, error) {
	b.setConfig(1, askRoute+","+jobsRoute)
	e := b.addEngines(4, engineBehaviour{slots: 8, events: 12, interval: 40 * time.Millisecond})
	if e == nil {
		e = b.startFronts()
	}
	if e != nil {
		return "", e
	}
	c := &jobClient{record: b.record, host: jobsHost, prefix: "/jobs/"}
	l := c.newItems(jobID, smugglingJobItems)
	if b.trouble {
		// What follows the path on the request line ends a request of its own, and the
		// item's own request follows that.
		l[3].Path = strings.TrimPrefix(head("/jobs/9/"+smuggledInPath, smuggledInPath), "POST ") + "Content-Length: 0\r\n\r\nPOST " + l[3].Path
		// A chunked body ends with an empty chunk, and the next request follows it.
		l[7].Headers["Transfer-Encoding"] = "chunked"
		l[7].Body = []byte("0\r\n\r\n" + head("/jobs/9/"+smuggledInBody, smuggledInBody) + "Content-Length: 0\r\n\r\n")
	}
	if !c.submit(b.fronts, jobID, l) {
		return "", errors.New("job was not accepted")
	}
	c.readAll(b.fronts[1], jobID, smugglingJobItems, 15*time.Second)
	v := ""
	for _, i := range []string{smuggledInPath, smuggledInBody} {
		for _, g := range b.engines {
			if g.ran(i) {
				v = "UNASKED: a server ran a request whose id no client sent, smuggled inside another one"
				b.add("server %s: has run request %s, whose id no client sent", g.id, i)
			}
		}
	}
	return v, nil
}
