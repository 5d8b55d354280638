//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	spoiledJobItems = 50
	// End of the id of the item that a server spoils, and the event that it spoils.
	spoiledItemEnd = "a03"
	spoiledEvent   = 5
)

// spoiledItem has one item of a job answered by a faulty server: in the middle of the
// stream it sends bytes that are no text, and breaks the answer off.
func spoiledItem(b *bed) (string, error) {
	var d atomic.Bool
	s := func(r *http.Request, n int) []byte {
		if !b.trouble || n != spoiledEvent || !strings.HasSuffix(r.URL.Path, spoiledItemEnd) || d.Swap(true) {
			return nil
		}
		return []byte(fmt.Sprintf("id: %d\ndata: part %d \xff\xfe\x80\xc3\n\n", n, n))
	}
	b.setConfig(1, askRoute+","+jobsRoute)
	e := b.addEngines(4, engineBehaviour{slots: 8, events: 12, interval: 40 * time.Millisecond, spoil: s})
	if e == nil {
		e = b.startFronts()
	}
	if e != nil {
		return "", e
	}
	c := &jobClient{record: b.record, host: jobsHost, prefix: "/jobs/"}
	if !c.submit(b.fronts, jobID, c.newItems(jobID, spoiledJobItems)) {
		return "", errors.New("job was not accepted")
	}
	b.add("traffic ends, batch jobs have %s more", finish)
	m := c.readAll(b.fronts[1], jobID, spoiledJobItems, finish+10*time.Second)
	b.add("calls at the store: %d reads of batch-results, %d creations, %d updates",
		b.platform.CallCount(http.MethodGet, "batch-results"), b.platform.CallCount(http.MethodPost, "batch-results"), b.platform.CallCount(http.MethodPut, "batch-results"))
	if len(m) == spoiledJobItems {
		return "", nil
	}
	return fmt.Sprintf("LOST: %d items of an open batch job are listed neither as done nor as dead_letter, though all were run to their end", spoiledJobItems-len(m)), nil
}
