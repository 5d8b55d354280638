package fleet_test

import (
	"testing"

	"bulrushtrail.example/trail/internal/standin/demo"
)

// The whole path must work for a real client library in both deployments, and
// every process must end a graceful shutdown well.
func TestTour(t *testing.T) {
	for _, k := range []struct{ deployment, key, model, plain string }{
		{"coladores", "key-mostrador-17", "asistente-lm", "pedidos-app"},
		{"kowalchuk", "key-teacher-8", "fit-assistant", "order-desk"},
	} {
		t.Run(k.deployment, func(t *testing.T) {
			x := start(t, k.deployment)
			e := demo.New(x.EntryURL(1), x.EntryURL(2), k.key, k.model, k.plain, t.Output()).Run(t.Context())
			if e != nil {
				t.Fatal(e)
			}
			e = x.Stop()
			if e != nil {
				t.Fatal(e)
			}
		})
	}
}
