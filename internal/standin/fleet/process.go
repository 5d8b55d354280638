package fleet

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// process is one process of the deployment.
type process struct {
	name, program string
	arguments     []string
	// URL that answers 200 when the process is ready.
	readyURL string
	logFile  string
	// Nil before the start and after the exit.
	command *exec.Cmd
	// Receives the exit error.
	exited chan error
}

func (p *process) start(program program) error {
	l, e := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if e != nil {
		return e
	}
	defer l.Close()
	n, v := program(p.program)
	k := exec.Command(n, p.arguments...)
	k.Env = append(os.Environ(), v...)
	k.Stdout = l
	k.Stderr = l
	// The process is killed when the one that started it exits, however that
	// happens.
	k.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	e = k.Start()
	if e != nil {
		return e
	}
	p.command = k
	p.exited = make(chan error, 1)
	go func() { p.exited <- k.Wait() }()
	return nil
}

// wait waits until the process is ready. It fails if the process exits before.
func (p *process) wait(ctx context.Context) error {
	c, f := context.WithTimeout(ctx, readyTimeout)
	defer f()
	for {
		q, e := http.NewRequestWithContext(c, http.MethodGet, p.readyURL, nil)
		if e != nil {
			return e
		}
		a, e := http.DefaultClient.Do(q)
		if e == nil {
			_ = a.Body.Close()
			if a.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-c.Done():
			return fmt.Errorf("%s is not ready: %w", p.name, c.Err())
		case e = <-p.exited:
			p.command = nil
			b, _ := os.ReadFile(p.logFile)
			return fmt.Errorf("%s exited: %v\n%s", p.name, e, b)
		case <-time.After(readyPeriod):
		}
	}
}

func (p *process) signal(sent os.Signal) {
	if p.command != nil {
		_ = p.command.Process.Signal(sent)
	}
}

func (p *process) kill() {
	if p.command == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.exited
	p.command = nil
}

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

func (p *process) thaw() { p.signal(syscall.SIGCONT) }

// terminate asks the process to shut down gracefully, and kills it after
// stopTimeout. It returns the exit error.
func (p *process) terminate() error {
	if p.command == nil {
		return nil
	}
	p.signal(syscall.SIGTERM)
	select {
	case e := <-p.exited:
		p.command = nil
		return e
	case <-time.After(stopTimeout):
		p.kill()
		return fmt.Errorf("did not exit within %v", stopTimeout)
	}
}
