package direct_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/limit"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/rules"
)

// silent is a trail.RateAsker that gets no answer.
type silent struct{}

func (silent) AskRate(ctx context.Context, _ string, _ *wire.RateRequest) (*wire.RateReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// serveTeam serves requests to a server of a lone front in which the limit of the team
// "t" has room for two, and returns what the callers get, with the attempts at backend
// servers. peer is the name of another front that counts but does not answer, empty for
// none.
func serveTeam(t *testing.T, peer string, replies []string, service string, requests ...*trail.Request) (got []string, attempts int) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{replies: replies}
		s, f := newServer(u)
		s.SetRateLimits(limit.New("front", f, silent{}, &log.Logger{Handler: discard.New()}, prometheus.NewRegistry()))
		s.SetTable(rules.New(wire.RouteTable_builder{Version: proto.Int64(1), Teams: []*wire.TeamRule{
			wire.TeamRule_builder{Name: proto.String("t"), RequestsPerSecond: proto.Float64(1), Burst: proto.Float64(2)}.Build(),
			wire.TeamRule_builder{Name: proto.String("free")}.Build(),
		}}.Build()))
		for i := range 24 {
			f.ExpirePeers(time.Now())
			if peer != "" {
				f.UpdatePeer(time.Now(), wire.Load_builder{Name: &peer, Sequence: proto.Uint64(uint64(i + 1)), CountsRates: proto.Bool(true)}.Build())
			}
			time.Sleep(250 * time.Millisecond)
		}
		r := route(wire.Repeat_REPEAT_SAFE, true, true, 2)
		for _, q := range requests {
			r.GetShares()[0].SetService(service)
			b, w := time.Now(), httptest.NewRecorder()
			e := s.Serve(t.Context(), r, 1, q, w)
			o := observed(e, w)
			if d := time.Since(b); d > 0 {
				o += " after " + d.String()
			}
			if trail.CodeOf(e) == limit.CodeExceeded && trail.RetryAfterOf(e) <= 0 {
				t.Error("no time to return")
			}
			got = append(got, o)
			service = "v"
		}
		for _, v := range f.LocalLoads(time.Now()) {
			if v.GetOnline() > 0 {
				t.Error("a request is still counted as in flight")
			}
		}
		attempts = len(u.attempts)
	})
	return got, attempts
}

func teamRequest(id int, team string) *trail.Request {
	return trail.NewRequest(fmt.Sprint("id-", id), "POST", "/p", "h", nil, nil).WithTeam(team)
}

// Guards against requests over the limit of their team that reach a backend server or
// keep their place at it, against refused ones that may have run by their verdict,
// against a retry or a request that no server can take that counts, and against a
// taken-up stream that does not.
func TestRequestsOverTeamLimitRun(t *testing.T) {
	a, b, c, d := teamRequest(1, "t"), teamRequest(2, "t"), teamRequest(3, "t"), teamRequest(4, "t")
	const r = "rate-limited not-run"
	o := "200 " + eventText(1)
	l := []struct {
		name     string
		peer     string
		replies  []string
		service  string
		requests []*trail.Request
		want     []string
		attempts int
	}{
		{"over the limit", "", []string{o, o, o}, "v", []*trail.Request{a, b, c, d}, []string{o, o, r, r}, 2},
		{"other teams", "", []string{o, o, o, o, o}, "v", []*trail.Request{a, b, c, teamRequest(5, "free"), teamRequest(6, ""), teamRequest(7, "unknown")}, []string{o, o, r, o, o, o}, 5},
		{"retries", "", []string{"busy", o, "lost", o}, "v", []*trail.Request{a, b, c}, []string{o, o, r}, 4},
		{"no server", "", []string{o, o}, "w", []*trail.Request{a, b, c, d}, []string{"no-backend-server not-run", o, o, r}, 2},
		{"no answer and no reserve left", "peer", []string{o, o}, "v", []*trail.Request{a, b, c}, []string{o + " after 60ms", r + " after 60ms", r + " after 60ms"}, 1},
		{
			"no answer in the time left", "peer",
			[]string{o},
			"v",
			[]*trail.Request{a.WithDeadline(time.Date(2000, 1, 1, 0, 0, 6, 30e6, time.UTC))},
			[]string{"deadline-exceeded not-run after 30ms"},
			0,
		},
	}
	for _, k := range l {
		t.Run(k.name, func(t *testing.T) {
			g, n := serveTeam(t, k.peer, k.replies, k.service, k.requests...)
			if d := cmp.Diff(k.want, g); d != "" {
				t.Error(d)
			}
			if n != k.attempts {
				t.Error("attempts:", n)
			}
		})
	}
}
