// Command demo starts a deployment of examples/ on loopback with stand-ins for
// what is outside the system, and takes a tour of it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"

	"bulrushtrail.example/trail/internal/standin/demo"
	"bulrushtrail.example/trail/internal/standin/fleet"
)

func main() {
	c, f := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	e := run(c)
	f()
	if e != nil {
		fmt.Fprintln(os.Stderr, "demo:", e)
		os.Exit(1)
	}
}

func run(c context.Context) error {
	d, e := os.MkdirTemp("", "bulrushtrail-demo-")
	if e != nil {
		return e
	}
	x, e := fleet.New("examples/coladores/deployment.json", d, program)
	if e != nil {
		return e
	}
	defer x.Close()
	fmt.Println("starting the deployment examples/coladores; logs are in", d)
	e = x.Start(c)
	if e != nil {
		return e
	}
	e = operate(c, x, "apply", "-f", "examples/coladores/services.json")
	if e != nil {
		return e
	}
	e = demo.New(x.EntryURL(1), x.EntryURL(2), "key-mostrador-17", "asistente-lm", "pedidos-app", os.Stdout).Run(c)
	if e != nil {
		return e
	}
	e = operate(c, x, "jobs")
	if e != nil {
		return e
	}
	e = x.Stop()
	if e != nil {
		return e
	}
	fmt.Println("all processes stopped gracefully")
	return os.RemoveAll(d)
}

func program(name string) (string, []string) { return filepath.Join("bin", name), nil }

func operate(c context.Context, x *fleet.Fleet, name string, arguments ...string) error {
	a := append([]string{name, "-entry", x.EntryURL(1), "-operator-key", x.OperatorKey()}, arguments...)
	fmt.Println("$ bulrushtrail", name, arguments)
	k := exec.CommandContext(c, filepath.Join("bin", "bulrushtrail"), a...)
	k.Stdout = os.Stdout
	k.Stderr = os.Stderr
	return k.Run()
}
