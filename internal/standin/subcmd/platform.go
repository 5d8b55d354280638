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
	// The rates that the system is designed for: about 2000 reads and several
	// hundred writes per second.
	defaultReadsPerSecond  = 2000
	defaultWritesPerSecond = 400
	defaultHostLag         = 2 * time.Second
)

// platformCommand returns the command that runs the platform stand-in.
func platformCommand(out io.Writer) *ffcli.Command {
	s := flag.NewFlagSet("platform", flag.ContinueOnError)
	a := s.String("address", "127.0.0.1:0", "IP and port to listen on")
	r := s.Int("reads-per-second", defaultReadsPerSecond, "rate limit of reads, watches included")
	w := s.Int("writes-per-second", defaultWritesPerSecond, "rate limit of writes")
	h := s.Duration("host-lag", defaultHostLag, "time until a change of the host list becomes visible")
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "standin platform [flags]",
		ShortHelp:  "serve the platform's object API",
		FlagSet:    s,
		Exec: func(ctx context.Context, _ []string) error {
			g := prometheus.NewRegistry()
			m := http.NewServeMux()
			m.Handle("GET /metrics", promhttp.HandlerFor(g, promhttp.HandlerOpts{}))
			m.Handle("/", kube.New(ctx, *r, *w, *h, log.Log, g))
			return serveHTTP(ctx, out, *a, &http.Server{Handler: m})
		},
	}
}
