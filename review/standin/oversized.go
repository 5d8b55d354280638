//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Items of the job with an item that no server can take.
const oversizedJobItems = 20

// oversizedItem has one item of a job ask for more tokens than a server has memory for.
func oversizedItem(b *bed) (string, error) {
	b.setConfig(1, askRoute+","+jobsRoute)
	e := b.addEngines(4, engineBehaviour{slots: 8, events: 12, interval: 40 * time.Millisecond})
	if e == nil {
		e = b.startFronts()
	}
	if e != nil {
		return "", e
	}
	c := &jobClient{record: b.record, host: jobsHost, prefix: "/jobs/"}
	l := c.newItems(jobID, oversizedJobItems)
	if b.trouble {
		l[3].Headers["X-Token-Usage"] = "160000,150"
		l[3].Tokens = 160150
	}
	if !c.submit(b.fronts, jobID, l) {
		return "", errors.New("job was not accepted")
	}
	b.add("traffic ends, batch jobs have %s more", finish)
	t := time.Now()
	go b.ask()
	m := c.readAll(b.fronts[1], jobID, oversizedJobItems, 2*finish)
	// The questions go on as long without the disruption.
	time.Sleep(2*finish - time.Since(t))
	for _, g := range b.engines {
		b.add("server %s: %d requests run, %d rejections so far", g.id, g.running.Load(), g.rejected.Load())
	}
	if len(m) == oversizedJobItems {
		return "", nil
	}
	return fmt.Sprintf("LOST: %d items of an open batch job are listed neither as done nor as dead_letter", oversizedJobItems-len(m)), nil
}

// ask sends small questions to the front that runs the job, to show what becomes of
// them. The rule of the case does not depend on that.
func (b *bed) ask() {
	n, o := 0, 0
	for ; ; n++ {
		i := fmt.Sprintf("q%04d", n)
		h := map[string]string{
			"X-Attempt-Id": i, "X-Time-Budget-Ms": "5000", "X-Model": "m", "X-Token-Usage": "350,30", "X-Prompt-Prefix": "5c1e07a2:100," + i + ":250",
		}
		a := send(http.MethodPost, b.fronts[0].api, "ask.example", "/ask/"+i, h, []byte("x"), 5*time.Second)
		if a.status == http.StatusOK {
			o++
		} else {
			b.add("client: question %s: %s", i, a)
		}
		if n%20 == 0 {
			b.add("client: %d of %d questions answered", o, n+1)
		}
		time.Sleep(500 * time.Millisecond)
	}
}
