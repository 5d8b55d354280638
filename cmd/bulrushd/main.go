// Command bulrushd runs a role of the system, front or disk, on the users'
// platform.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"bulrushtrail.example/trail/internal/command/daemon"
)

func main() {
	c, f := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	h := make(chan os.Signal, 1)
	signal.Notify(h, syscall.SIGHUP)
	r := make(chan struct{})
	go func() {
		for range h {
			r <- struct{}{}
		}
	}()
	s := daemon.Run(c, os.Args[1:], r, os.Stdout, os.Stderr)
	f()
	os.Exit(s)
}
