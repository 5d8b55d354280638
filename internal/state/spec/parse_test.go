package spec_test

import (
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/state/spec"
)

// Guards against a rejected text that reports only some of its faults, or reports
// them at the wrong place, so that the operator finds the rest one apply at a
// time.
func TestParseMissesFaults(t *testing.T) {
	for _, k := range []struct {
		name string
		text string
		want []string
	}{
		{"accepted", `{"services":[{"name":"a","kind":"model","model":"m","depends-on":["b"]},{"name":"b","kind":"plain"}]}`, nil},
		{"not JSON", `{"services":`, []string{"/ text-syntax"}},
		{"duplicate key", `{"services":[],"services":[]}`, []string{"/ text-syntax"}},
		{
			"unknown keys and wrong types", `{"servces":[],"services":[{"name":"a","kind":"x","limits":{"slots":"9"}}]}`,
			[]string{"/ text-shape", "/services/0/kind text-shape", "/services/0/limits/slots text-shape"},
		},
		{
			"references", `{"services":[{"name":"a","kind":"plain","depends-on":["c","d"]},{"name":"a","kind":"plain"},{"name":"c","kind":"model","depends-on":["a"]}]}`,
			[]string{
				"/services/0/depends-on dependency-cycle", "/services/0/depends-on/1 dependency-unknown",
				"/services/1/name service-duplicate", "/services/2/model service-model",
			},
		},
		{"dependency on itself", `{"services":[{"name":"a","kind":"plain","depends-on":["a"]}]}`, []string{"/services/0/depends-on dependency-cycle"}},
	} {
		t.Run(k.name, func(t *testing.T) {
			_, e := spec.Parse([]byte(k.text))
			var l trail.Errors
			_ = errors.As(e, &l)
			var g []string
			for _, f := range l {
				g = append(g, f.Place()+" "+f.Code())
			}
			slices.Sort(g)
			if d := cmp.Diff(k.want, g); d != "" {
				t.Error(d)
			}
		})
	}
}
