// Command demo starts a deployment of examples/ on loopback, with stand-ins for
// the external systems, and sends it a sequence of example requests and jobs.
package main

import (
	"context"
	"flag"
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
	h := flag.Bool("hold", false, "keep the deployment running until SIGTERM instead of sending example requests")
	d := flag.String("deployment", "examples/coladores/deployment.json", "deployment file, which lists the processes")
	t := flag.String("services", "examples/coladores/services.json", "services configuration file")
	flag.Parse()
	e := run(c, *d, *t, *h)
	f()
	if e != nil {
		fmt.Fprintln(os.Stderr, "demo:", e)
		os.Exit(1)
	}
}

func run(ctx context.Context, deployment, services string, hold bool) error {
	d, e := os.MkdirTemp("", "bulrushtrail-demo-")
	if e != nil {
		return e
	}
	x, e := fleet.New(deployment, d, programPath)
	if e != nil {
		return e
	}
	defer x.Close()
	fmt.Println("starting", deployment, "- logs are in", d)
	e = x.Start(ctx)
	if e != nil {
		return e
	}
	e = runOperatorCommand(ctx, x, "apply", "-f", services)
	if e != nil {
		return e
	}
	if hold {
		fmt.Println("entries:", x.EntryURL(1), x.EntryURL(2), x.EntryURL(3))
		fmt.Println("operator key:", x.OperatorKey())
		<-ctx.Done()
		return x.Stop()
	}
	e = demo.New(x.EntryURL(1), x.EntryURL(2), "key-mostrador-17", "asistente-lm", "pedidos-app", os.Stdout).Run(ctx)
	if e != nil {
		return e
	}
	e = runOperatorCommand(ctx, x, "jobs")
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

func programPath(name string) (string, []string) { return filepath.Join("bin", name), nil }

func runOperatorCommand(ctx context.Context, deployment *fleet.Fleet, name string, arguments ...string) error {
	a := append([]string{name, "-entry", deployment.EntryURL(1), "-operator-key", deployment.OperatorKey()}, arguments...)
	fmt.Println("$ bulrushtrail", name, arguments)
	k := exec.CommandContext(ctx, filepath.Join("bin", "bulrushtrail"), a...)
	k.Stdout = os.Stdout
	k.Stderr = os.Stderr
	return k.Run()
}
