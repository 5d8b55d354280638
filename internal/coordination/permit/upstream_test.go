package permit_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/coordination/permit"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// entry is the only backend server. It takes two requests a second.
var entry = wire.BackendServer_builder{
	Id: proto.String("s"), Service: proto.String("v"), Address: proto.String("10.0.0.1:80"), DataCentre: proto.String("a"), Slots: proto.Int32(1000),
}.Build()

const (
	perSecond = 2.0
	// Time in which requests are counted.
	window = 4 * time.Second
)

// front is one front of a network.
type front struct {
	name     string
	fleet    *fleet.Fleet
	upstream *permit.Upstream
	sequence uint64
	// Does not answer other fronts, and is not heard by them.
	cut bool
}

// network connects the fronts of one process.
type network struct {
	fronts []*front
	// When requests were sent to the server.
	sent []time.Time
}

// AskPermit implements trail.PermitAsker.
func (n *network) AskPermit(ctx context.Context, name string, request *wire.PermitRequest) (*wire.PermitReply, error) {
	for _, x := range n.fronts {
		if x.name == name && !x.cut {
			return x.upstream.Grant(request), nil
		}
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// Send implements trail.Upstream for the server.
func (n *network) Send(context.Context, *wire.BackendServer, *trail.Request, string) (*trail.Response, error) {
	n.sent = append(n.sent, time.Now())
	return trail.NewResponse(&http.Response{StatusCode: http.StatusOK, Body: http.NoBody}, 0), nil
}

// join adds a front that knows the server and its limit.
func (n *network) join() {
	x := &front{name: fmt.Sprint("front-", len(n.fronts))}
	x.fleet = fleet.New(x.name, "a")
	x.fleet.SetServers(time.Now(), []*wire.BackendServer{entry}, time.Now(), time.Now())
	x.fleet.RecordLimit(time.Now(), entry, 0, perSecond)
	x.upstream = permit.New(x.name, x.fleet, n, n, &log.Logger{Handler: discard.New()}, prometheus.NewRegistry())
	n.fronts = append(n.fronts, x)
}

// exchangeLoads sends the heartbeats of all fronts.
func (n *network) exchangeLoads() {
	for _, x := range n.fronts {
		x.sequence++
		l := wire.Load_builder{Name: &x.name, Incarnation: proto.Uint64(1), Sequence: proto.Uint64(x.sequence), DataCentre: proto.String("a")}.Build()
		for _, y := range n.fronts {
			if x != y && !x.cut && !y.cut {
				y.fleet.UpdatePeer(time.Now(), l)
			}
		}
	}
	for _, x := range n.fronts {
		x.fleet.ExpirePeers(time.Now())
	}
}

// run sends a request from each front each 50 ms, as far as the fleet chooses the
// server, and calls at with the number of each step.
func (n *network) run(steps int, at func(step int)) {
	for i := range steps {
		at(i)
		if i%5 == 0 {
			n.exchangeLoads()
		}
		for _, x := range n.fronts {
			b, _, _ := x.fleet.AcquireOnline(time.Now(), "v", time.Second, time.Second, nil, 0)
			if b == nil {
				continue
			}
			_, _ = x.upstream.Send(context.Background(), b, trail.NewRequest("i", http.MethodGet, "/", "h", nil, nil), "")
			x.fleet.ReleaseOnline("s", time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// mostInWindow returns the largest number of requests in a window.
func (n *network) mostInWindow() int {
	m, j := 0, 0
	for i, t := range n.sent {
		for t.Sub(n.sent[j]) > window {
			j++
		}
		m = max(m, i-j+1)
	}
	return m
}

// Guards against fronts that together send more than the limit of a backend
// server allows, one and a half times of it and five requests in four seconds:
// many of them, while others join, and when the one that counts is lost. At least
// half of the limit is used over the whole time.
func TestFrontsExceedLimitTogether(t *testing.T) {
	l := map[string]struct {
		fronts int
		at     func(n *network, step int)
	}{
		"one front":         {1, func(*network, int) {}},
		"six fronts":        {6, func(*network, int) {}},
		"165 fronts":        {165, func(*network, int) {}},
		"fronts that join":  {3, func(n *network, step int) { joinEach(n, step, 40) }},
		"counting one lost": {4, func(n *network, step int) { loseEach(n, step, 120) }},
	}
	for k, v := range l {
		t.Run(k, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &network{}
				for range v.fronts {
					n.join()
				}
				n.exchangeLoads()
				n.run(300, func(step int) { v.at(n, step) })
				if m := n.mostInWindow(); m > int(1.5*perSecond*window.Seconds())+5 {
					t.Errorf("%d requests in %s", m, window)
				}
				if m := len(n.sent); m < int(perSecond*15/2) {
					t.Errorf("only %d requests in 15 s", m)
				}
			})
		})
	}
}

// joinEach adds a front each so many steps.
func joinEach(n *network, step, steps int) {
	if step > 0 && step%steps == 0 {
		n.join()
	}
}

// loseEach cuts off the front that counts each so many steps, three times at
// most, and does not let it send.
func loseEach(n *network, step, steps int) {
	if step == 0 || step%steps != 0 || step > 3*steps {
		return
	}
	for i, x := range n.fronts {
		if !x.cut && x.fleet.First(time.Now(), "s", "a") == x.name {
			x.cut = true
			n.fronts = append(n.fronts[:i:i], n.fronts[i+1:]...)
			return
		}
	}
}

// Guards against a request that is sent without a permit when the front that
// counts does not answer, and against a refusal that tells no time.
func TestUnansweredRequestForPermitIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{}
		n.join()
		n.join()
		n.exchangeLoads()
		time.Sleep(3 * time.Second)
		n.exchangeLoads()
		for _, x := range n.fronts {
			x.cut = true
		}
		var c []string
		for _, x := range n.fronts {
			if x.fleet.First(time.Now(), "s", "a") == x.name {
				continue
			}
			_, e := x.upstream.Send(t.Context(), entry, trail.NewRequest("i", http.MethodGet, "/", "h", nil, nil), "")
			c = append(c, trail.CodeOf(e)+" "+trail.VerdictOf(e).String())
			if trail.RetryAfterOf(e) <= 0 {
				t.Error("no time to retry after")
			}
			_, r, w := x.fleet.AcquireOnline(time.Now(), "v", time.Second, time.Second, nil, 0)
			c = append(c, r)
			if w <= 0 {
				t.Error("no time to retry after")
			}
		}
		if d := cmp.Diff([]string{"backend-limited not-run", fleet.ReasonPaused}, c); d != "" {
			t.Error(d)
		}
		if len(n.sent) > 0 {
			t.Error("sent without a permit")
		}
	})
}
