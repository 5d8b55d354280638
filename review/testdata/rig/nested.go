package main

import (
	"fmt"
	"time"
)

// nestedConfig is the configuration of the case: version 2 adds a route for online
// requests under a part of the paths of the batch route.
func nestedConfig(version int, added string) string {
	l := fmt.Sprintf(`{"Name":"r-lots","Hostname":%q,"PathPrefix":"/dovi118/","RouteType":"batch","TimeoutMs":15000,"LatencyTargetMs":400,"Priority":2,"Service":"huvo11a","MaxAttempts":3,"DueMs":18000,"MaxWaitS":%d,"SessionAffinity":true,"Resumable":true}`, callerHost, maxWaitS)
	return fmt.Sprintf(`{"Version":%d,"Routes":[%s%s],"Services":[{"Name":"huvo11a","HealthPath":"/health","MaxConns":210,"Engine":{"Slots":8,"KvCapacity":147261}}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`, version, l, added)
}

// onlineRoute is a route for online requests, preceded by a comma.
func onlineRoute(prefix string) string {
	return fmt.Sprintf(`,{"Name":"r-ask","Hostname":%q,"PathPrefix":%q,"RouteType":"streaming","TimeoutMs":5000,"LatencyTargetMs":300,"Priority":0,"Service":"huvo11a","MaxAttempts":1,"SessionAffinity":true,"Resumable":false,"GapTargetMs":300}`, callerHost, prefix)
}

// smallDeployment starts three fronts and six runners with a configuration. The runners
// send an event after each pace.
func (r *rig) smallDeployment(config string, pace time.Duration) []*front {
	r.store.Put("config", "main", config)
	for n := range 6 {
		r.addRunner(fmt.Sprintf("i-%02d", n), "huvo11a", fmt.Sprintf("z%d", n%3), itemEvents, pace)
	}
	var l []*front
	for n := range 3 {
		l = append(l, r.addFront(fmt.Sprintf("front-%d", n+1), fmt.Sprintf("z%d", n)))
	}
	for _, f := range l {
		f.awaitReady()
	}
	// The fronts know each other by then.
	time.Sleep(4 * time.Second)
	return l
}

// nestedRoute: jobs are accepted on a batch route, and the operator adds an online
// route with a longer prefix, under which their paths lie. The batch route stays.
func nestedRoute(r *rig) string {
	l := r.smallDeployment(nestedConfig(1, ""), eventPace)
	j := r.submitAll(l[0], "/dovi118/north/", 12, 10)
	x := ""
	if r.trouble {
		x = onlineRoute("/dovi118/north/")
	}
	r.store.Put("config", "main", nestedConfig(2, x))
	r.note("operator: version 2 is acknowledged, its routes under /dovi118/: %q", x)
	s := r.judgeJobs(l[1], j, 25*time.Second)
	for _, f := range l {
		f.noteLog("given up", "configuration in force")
	}
	return s
}
