package rules_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/rules"
)

func rule(name, host, prefix string) *wire.RouteRule {
	return wire.RouteRule_builder{Name: &name, Host: &host, Prefix: &prefix}.Build()
}

// Guards against requests matched to a shorter prefix than possible, or to a
// route of another host.
func TestLongestPrefixOfHostMatches(t *testing.T) {
	s := rules.New(wire.RouteTable_builder{Routes: []*wire.RouteRule{
		rule("short", "a.example", "/x/"),
		rule("long", "a.example", "/x/y/"),
		rule("other", "b.example", "/x/y/z/"),
	}}.Build())
	l := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"A.Example:8080", "/x/y/z/1", "long"},
		{"b.example", "/x/y/1", ""},
		{"b.example", "/x/y/z/1", "other"},
		{"c.example", "/x/1", ""},
	}
	for _, k := range l {
		if d := cmp.Diff(k.want, s.Match(k.host, k.path).GetName()); d != "" {
			t.Errorf("%s%s: %s", k.host, k.path, d)
		}
	}
}

// Guards against requests sent to a service of weight 0, or in other
// proportions than the weights.
func TestServicesArePickedByWeight(t *testing.T) {
	r := wire.RouteRule_builder{Shares: []*wire.RouteShare{
		wire.RouteShare_builder{Service: proto.String("none"), Weight: proto.Float64(0)}.Build(),
		wire.RouteShare_builder{Service: proto.String("most"), Weight: proto.Float64(90)}.Build(),
		wire.RouteShare_builder{Service: proto.String("few"), Weight: proto.Float64(10)}.Build(),
	}}.Build()
	var g []string
	for _, d := range []float64{0, 0.5, 0.899, 0.9, 0.999} {
		g = append(g, rules.PickService(r, d))
	}
	if d := cmp.Diff([]string{"most", "most", "most", "few", "few"}, g); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff("", rules.PickService(&wire.RouteRule{}, 0.5)); d != "" {
		t.Error(d)
	}
}

// batchRule returns a route of batch jobs.
func batchRule(name, host, prefix string) *wire.RouteRule {
	r := rule(name, host, prefix)
	r.SetBatch(true)
	return r
}

// Guards against a job that follows a route which was added, removed or changed beside
// its own one.
func TestJobFollowsAnotherRoute(t *testing.T) {
	o := batchRule("own", "h", "/a/")
	for _, k := range []struct {
		name, route string
		routes      []*wire.RouteRule
		want        string
	}{
		{"alone", "own", []*wire.RouteRule{o}, "own"},
		{"online nested", "own", []*wire.RouteRule{o, rule("n", "h", "/a/b/")}, "own"},
		{"batch nested", "own", []*wire.RouteRule{o, batchRule("n", "h", "/a/b/")}, "own"},
		{"wider beside", "own", []*wire.RouteRule{o, batchRule("w", "h", "/")}, "own"},
		{"removed", "own", nil, ""},
		{"removed, nested stays", "own", []*wire.RouteRule{batchRule("n", "h", "/a/b/")}, "n"},
		{"removed, wider stays", "own", []*wire.RouteRule{batchRule("w", "h", "/")}, "w"},
		{"removed, online nested stays", "own", []*wire.RouteRule{rule("n", "h", "/a/b/"), batchRule("w", "h", "/")}, ""},
		{"renamed", "own", []*wire.RouteRule{batchRule("new", "h", "/a/")}, "new"},
		{"online now", "own", []*wire.RouteRule{rule("own", "h", "/a/")}, ""},
		{"name goes to another path", "own", []*wire.RouteRule{batchRule("own", "h", "/c/")}, ""},
		{"name goes to another host", "own", []*wire.RouteRule{batchRule("own", "g", "/a/")}, ""},
		{"name goes to another path, nested stays", "own", []*wire.RouteRule{batchRule("own", "h", "/c/"), batchRule("n", "h", "/a/b/")}, "n"},
		{"not known, online nested", "", []*wire.RouteRule{o, rule("n", "h", "/a/b/")}, "own"},
		{"not known, batch nested", "", []*wire.RouteRule{o, batchRule("n", "h", "/a/b/")}, "n"},
		{"not known, none", "", []*wire.RouteRule{rule("n", "h", "/a/b/")}, ""},
	} {
		s := rules.New(wire.RouteTable_builder{Routes: k.routes}.Build())
		if d := cmp.Diff(k.want, s.JobRoute(k.route, "H:80", "/a/b/1").GetName()); d != "" {
			t.Errorf("%s: %s", k.name, d)
		}
	}
}
