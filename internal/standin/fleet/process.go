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
	ready string
	log   string
	// Nil before the start and after the end.
	command *exec.Cmd
	ended   chan error
}

func (p *process) start(program program) error {
	l, e := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if e != nil {
		return e
	}
	defer l.Close()
	n, v := program(p.program)
	k := exec.Command(n, p.arguments...)
	k.Env = append(os.Environ(), v...)
	k.Stdout = l
	k.Stderr = l
	// The process ends with the one that started it, however that ends.
	k.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	e = k.Start()
	if e != nil {
		return e
	}
	p.command = k
	p.ended = make(chan error, 1)
	go func() { p.ended <- k.Wait() }()
	return nil
}

func (p *process) wait(c context.Context) error {
	c, f := context.WithTimeout(c, readyTimeout)
	defer f()
	for {
		q, e := http.NewRequestWithContext(c, http.MethodGet, p.ready, nil)
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
		case e = <-p.ended:
			p.command = nil
			b, _ := os.ReadFile(p.log)
			return fmt.Errorf("%s ended: %v\n%s", p.name, e, b)
		case <-time.After(readyPeriod):
		}
	}
}

func (p *process) signal(s os.Signal) {
	if p.command != nil {
		_ = p.command.Process.Signal(s)
	}
}

func (p *process) kill() {
	if p.command == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.ended
	p.command = nil
}

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

func (p *process) thaw() { p.signal(syscall.SIGCONT) }

func (p *process) terminate() error {
	if p.command == nil {
		return nil
	}
	p.signal(syscall.SIGTERM)
	select {
	case e := <-p.ended:
		p.command = nil
		return e
	case <-time.After(stopTimeout):
		p.kill()
		return fmt.Errorf("did not end within %v", stopTimeout)
	}
}
