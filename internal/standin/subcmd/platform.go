package subcmd

import (
	"context"
	"flag"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"bulrushtrail.example/trail/internal/standin/kube"
)

const (
	// The design's figures: about two thousand reads and several hundred
	// writes a second.
	defaultReadsPerSecond  = 2000
	defaultWritesPerSecond = 400
	defaultHostLag         = 2 * time.Second
)

// platform serves the stand-in of the platform.
func platform(out io.Writer) *ffcli.Command {
	s := flag.NewFlagSet("platform", flag.ContinueOnError)
	a := s.String("address", "127.0.0.1:0", "IP and port")
	r := s.Int("reads-per-second", defaultReadsPerSecond, "budget for reads and watches")
	w := s.Int("writes-per-second", defaultWritesPerSecond, "budget for writes")
	h := s.Duration("host-lag", defaultHostLag, "time until a change of the host list is visible")
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "standin platform [flags]",
		ShortHelp:  "serve the platform's object API",
		FlagSet:    s,
		Exec: func(c context.Context, _ []string) error {
			g := prometheus.NewRegistry()
			m := http.NewServeMux()
			m.Handle("GET /metrics", promhttp.HandlerFor(g, promhttp.HandlerOpts{}))
			m.Handle("/", kube.New(c, *r, *w, *h, log.Log, g))
			return serveHTTP(c, out, *a, &http.Server{Handler: m})
		},
	}
}
