package extra_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/standin/extra"
)

// Guards against a fault that does not occur, with which tests of the system would pass
// without a guard: answers too many must be copies of earlier answers of the connection,
// at the place that was set.
func TestExtraAnswersAreMissing(t *testing.T) {
	for n, k := range map[string]struct {
		faults string
		// Answers in the order in which the connection carries them.
		want []string
	}{
		"off":             {`{}`, []string{"200 a", "200 b", "200 c"}},
		"refusal due":     {`{"kinds":["refusal"],"place":"due","refuse-every":2}`, []string{"200 a", "503 b", "503 b", "200 c"}},
		"several due":     {`{"kinds":["refusal","refusal","success"],"refuse-every":2,"split":true}`, []string{"200 a", "200 a", "503 b", "503 b", "503 b", "200 a", "200 c"}},
		"joined":          {`{"kinds":["unnamed"],"place":"joined","refuse-every":2}`, []string{"200 a", "503 b", "503 ", "200 c"}},
		"right after":     {`{"kinds":["success"],"place":"after"}`, []string{"200 a", "200 a", "200 b", "200 b", "200 c", "200 c"}},
		"failure":         {`{"kinds":["failure"],"fail-every":2}`, []string{"200 a", "500 b", "500 b", "200 c"}},
		"every second":    {`{"kinds":["success"],"every":2}`, []string{"200 a", "200 a", "200 b", "200 c"}},
		"no ids":          {`{"kinds":["success"],"ids":"omitted"}`, []string{"200 ", "200 ", "200 ", "200 ", "200 "}},
		"cut in its body": {`{"kinds":["cut"],"every":3}`, []string{"200 a", "200 b", "cut"}},
	} {
		t.Run(n, func(t *testing.T) {
			c, r := dialServer(t, k.faults)
			var l []string
			for _, i := range []string{"a", "b", "c"} {
				_, e := fmt.Fprintf(c, "POST /work/x HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", i)
				if e != nil {
					t.Fatal(e)
				}
				// Only the answer to the last request is the end; copies of earlier
				// ones are read before it.
				for s := ""; !strings.HasSuffix(s, " "+i) && len(l) < len(k.want); {
					s = readAnswer(r)
					l = append(l, s)
					if s == "200 " && len(l)%2 == 1 {
						break
					}
				}
				if strings.Contains(k.faults, "after") {
					l = append(l, readAnswer(r))
				}
			}
			if d := cmp.Diff(k.want, l); d != "" {
				t.Error(d)
			}
		})
	}
}

// dialServer starts a server with faults and returns a connection to it.
func dialServer(t *testing.T, faults string) (net.Conn, *bufio.Reader) {
	t.Helper()
	l, e := net.Listen("tcp", "127.0.0.1:0")
	if e != nil {
		t.Fatal(e)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		_, _ = io.WriteString(w, strings.Repeat("x", 500))
	})}
	w := extra.New().Attach(s, l)
	go func() { _ = s.Serve(w) }()
	t.Cleanup(func() { _ = s.Close() })
	a, e := http.Post("http://"+l.Addr().String()+"/control/extra", "", strings.NewReader(faults))
	if e != nil {
		t.Fatal(e)
	}
	_ = a.Body.Close()
	if d := cmp.Diff(http.StatusOK, a.StatusCode); d != "" {
		t.Fatal(d)
	}
	c, e := net.Dial("tcp", l.Addr().String())
	if e != nil {
		t.Fatal(e)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

// readAnswer returns the status and id of the next answer, or "cut" if the rest of its
// body is another answer.
func readAnswer(r *bufio.Reader) string {
	a, e := http.ReadResponse(r, nil)
	if e != nil {
		return e.Error()
	}
	b, _ := io.ReadAll(a.Body)
	if strings.Contains(string(b), "HTTP/1.1") {
		return "cut"
	}
	return fmt.Sprintf("%d %s", a.StatusCode, a.Header.Get("X-Request-Id"))
}
