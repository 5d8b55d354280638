// Command standin runs stand-ins for the external systems that bulrushtrail
// depends on, for tests and demonstrations.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"bulrushtrail.example/trail/internal/standin/subcmd"
)

func main() {
	c, f := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	s := subcmd.Run(c, os.Args[1:], os.Stdout, os.Stderr)
	f()
	os.Exit(s)
}
