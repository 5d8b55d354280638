package view

import (
	"context"
	"time"

	"bulrushtrail.example/trail/internal/coordination/owner"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	probePeriod  = 5 * time.Second
	probeTimeout = 4 * time.Second
	// A member that is unreachable for six probes, 30 s, is removed.
	probeLimit = 6
	// Schedulers that probe a member: near ones notice a lost host, far ones a
	// lost data centre.
	nearProbers = 2
	farProbers  = 1
)

// probe removes members that can't be reached from the platform's list. Each
// member is probed by a few schedulers only.
func (v *Views) probe(c context.Context) {
	if v.self.GetRole() != "sched" {
		return
	}
	// Failed probes in a row by member and incarnation.
	n := map[string]int{}
	t := time.NewTicker(probePeriod)
	defer t.Stop()
	for {
		select {
		case <-c.Done():
			return
		case <-t.C:
			n = v.probeAll(c, n)
		}
	}
}

func (v *Views) probeAll(c context.Context, failed map[string]int) map[string]int {
	l := v.Latest().GetMembers()
	type answer struct {
		m *wire.Member
		e error
	}
	a := make(chan answer)
	k := 0
	for _, m := range l {
		if v.isSelf(m) || !v.probes(l, m) {
			continue
		}
		k++
		go func() {
			d, f := context.WithTimeout(c, probeTimeout)
			defer f()
			_, e := v.m.Ping(d, m.GetPeerAddress())
			a <- answer{m, e}
		}()
	}
	n := map[string]int{}
	for range k {
		b := <-a
		if b.e == nil {
			continue
		}
		i := b.m.GetId()
		n[i] = failed[i] + 1
		if n[i] >= probeLimit {
			v.expel(c, b.m)
		}
	}
	return n
}

// probes says whether this process probes the member.
func (v *Views) probes(members []*wire.Member, m *wire.Member) bool {
	n, f := 0, 0
	for _, p := range owner.Rank(members, "sched", "probe/"+m.GetId(), "") {
		if p.GetId() == m.GetId() {
			continue
		}
		if p.GetDataCentre() == m.GetDataCentre() {
			n++
			if n > nearProbers {
				continue
			}
		} else {
			f++
			if f > farProbers {
				continue
			}
		}
		if v.isSelf(p) {
			return true
		}
	}
	return false
}

// expel deletes the member object if the same process still stands in it.
func (v *Views) expel(c context.Context, m *wire.Member) {
	o, e := v.store.Get(c, kindMembers, m.GetId())
	if e != nil {
		return
	}
	q := &wire.Member{}
	e = o.Decode(q)
	if e != nil || !sameProcess(q, m) {
		return
	}
	e = v.store.Delete(c, o)
	v.l.WithField("member", m.GetId()).WithField("failed", e != nil).Warn("view: unreachable member removed")
}
