// Command bulrushtrail runs the roles of the system and the operator commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"bulrushtrail.example/trail/internal/command/tool"
)

func main() {
	c, f := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	s := tool.Run(c, os.Args[1:], os.Stdout, os.Stderr)
	f()
	os.Exit(s)
}
