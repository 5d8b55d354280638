package plain_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/standin/plain"
)

// Guards against wrong counts of runs, which would hide from other tests that a
// request ran twice.
func TestMiscountsRuns(t *testing.T) {
	s := httptest.NewServer(plain.New())
	defer s.Close()
	// On reused connections, net/http retries requests with an Idempotency-Key.
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	f := func(method, path, body string) string {
		q, e := http.NewRequest(method, s.URL+path, strings.NewReader(body))
		if e != nil {
			t.Fatal(e)
		}
		q.Header.Set("Idempotency-Key", "order-1")
		a, e := c.Do(q)
		if e != nil {
			return "closed"
		}
		defer a.Body.Close()
		b, _ := io.ReadAll(a.Body)
		r := struct {
			Count int
			Path  string
		}{}
		_ = json.Unmarshal(b, &r)
		return fmt.Sprintf("%d %d %s", a.StatusCode, r.Count, r.Path)
	}
	var l []string
	l = append(l, f("POST", "/orders?shop=7", "2 crates"))
	for _, x := range []string{`{"refuse":1}`, `{"close-before-run":1}`, `{"close-after-run":1}`, `{"delay-ms":1}`, `{"other":1}`} {
		l = append(l, f("POST", "/control/faults", x), f("PUT", "/orders", ""))
	}
	w := []string{
		"200 1 /orders?shop=7",
		"200 0 ", "503 0 ",
		"200 0 ", "closed",
		"200 0 ", "closed",
		"200 0 ", "200 3 /orders",
		"400 0 ", "200 4 /orders",
	}
	if d := cmp.Diff(w, l); d != "" {
		t.Fatal(d)
	}
	a, e := http.Get(s.URL + "/control/runs")
	if e != nil {
		t.Fatal(e)
	}
	defer a.Body.Close()
	b, _ := io.ReadAll(a.Body)
	if d := cmp.Diff(`{"total":4,"by-key":{"order-1":4},"by-attempt":{}}`+"\n", string(b)); d != "" {
		t.Fatal(d)
	}
}
