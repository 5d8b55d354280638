//go:build review

package main

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	askRoute = `{"Name":"ask","Hostname":"ask.example","PathPrefix":"/ask/","RouteType":"streaming","TimeoutMs":5000,"LatencyTargetMs":300,"Priority":0,` +
		`"Service":"assistant","MaxAttempts":2,"Resumable":true,"SessionAffinity":true,"GapTargetMs":300}`
	slowerAskRoute = `{"Name":"ask","Hostname":"ask.example","PathPrefix":"/ask/","RouteType":"streaming","TimeoutMs":4500,"LatencyTargetMs":300,"Priority":0,` +
		`"Service":"assistant","MaxAttempts":2,"Resumable":true,"SessionAffinity":true,"GapTargetMs":300}`
	// Host of the batch route where it has the host for itself.
	jobsHost = "jobs.example"
	jobsTail = `","PathPrefix":"/jobs/","RouteType":"batch","TimeoutMs":15000,"LatencyTargetMs":400,"Priority":2,` +
		`"Service":"assistant","MaxAttempts":3,"DueMs":18000,"MaxWaitS":20,"SessionAffinity":true}`
	jobsRoute = `{"Name":"jobs","Hostname":"` + jobsHost + jobsTail
	// The batch route on the host of the other one.
	sharedJobsRoute = `{"Name":"jobs","Hostname":"ask.example` + jobsTail

	configApply = 2 * time.Second
	settle      = time.Second
	finish      = 18 * time.Second

	// Items of the job whose route is removed.
	removedJobItems = 10
)

// changeConfig writes the second configuration: without the batch route, or, without
// the disruption, with another time limit of the other route. It waits until the
// configuration must be in force everywhere.
func (b *bed) changeConfig(batchRoute string) {
	if b.trouble {
		b.setConfig(2, askRoute)
	} else {
		b.setConfig(2, slowerAskRoute+","+batchRoute)
	}
	time.Sleep(configApply + settle)
}

// resultsOfRemovedRoute reads a finished job after its route was removed.
func resultsOfRemovedRoute(b *bed) (string, error) {
	b.setConfig(1, askRoute+","+jobsRoute)
	e := b.addEngines(4, engineBehaviour{slots: 8, events: 12, interval: 40 * time.Millisecond})
	if e == nil {
		e = b.startFronts()
	}
	if e != nil {
		return "", e
	}
	c := &jobClient{record: b.record, host: jobsHost, prefix: "/jobs/"}
	if !c.submit(b.fronts, jobID, c.newItems(jobID, removedJobItems)) {
		return "", errors.New("job was not accepted")
	}
	if len(c.readAll(b.fronts[1], jobID, removedJobItems, 20*time.Second)) != removedJobItems {
		return "", errors.New("job was not finished before the disruption")
	}
	b.changeConfig(jobsRoute)
	v := ""
	// A front that can't be sure may answer 503; the client asks again.
	for range 3 {
		for _, f := range b.fronts {
			_, a := c.read(f, jobID, 0, 0)
			b.add("client: results of job %s from the start at %s: %s", jobID, f.name, a)
			if a.status == http.StatusNotFound || a.status == http.StatusGone {
				v = "LOST: a batch job that was accepted, and whose results had been read, is answered with 404"
			}
		}
		time.Sleep(2 * time.Second)
	}
	if b.trouble {
		b.setConfig(3, askRoute+","+jobsRoute)
		time.Sleep(configApply + settle)
		_, a := c.read(b.fronts[1], jobID, 0, 0)
		b.add("client: with the route back, results of job %s at %s: %s", jobID, b.fronts[1].name, a)
	}
	return v, nil
}

// itemsOfRemovedRoute waits for the items of a job whose route is removed while most of
// them wait.
func itemsOfRemovedRoute(b *bed) (string, error) {
	b.setConfig(1, askRoute+","+sharedJobsRoute)
	e := b.addEngines(2, engineBehaviour{slots: 2, events: 20, interval: 100 * time.Millisecond})
	if e == nil {
		e = b.startFronts()
	}
	if e != nil {
		return "", e
	}
	c := &jobClient{record: b.record, host: "ask.example", prefix: "/jobs/"}
	if !c.submit(b.fronts, jobID, c.newItems(jobID, removedJobItems)) {
		return "", errors.New("job was not accepted")
	}
	time.Sleep(time.Second)
	b.changeConfig(sharedJobsRoute)
	b.add("traffic ends, batch jobs have %s more", finish)
	// Longer than the rule asks for: also MaxWaitS is over by then.
	m := c.readAll(b.fronts[1], jobID, removedJobItems, 2*finish)
	if len(m) == removedJobItems {
		return "", nil
	}
	n := int64(0)
	for _, g := range b.engines {
		n += g.running.Load()
		b.add("server %s: %d requests run, %d wait", g.id, g.running.Load(), g.waiting.Load())
	}
	if n > 0 {
		return "", errors.New("backend servers still work")
	}
	return "LOST: items of an open batch job are listed neither as done nor as dead_letter, though its backend servers are idle", nil
}
