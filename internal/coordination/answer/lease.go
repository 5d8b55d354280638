package answer

import (
	"context"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
)

const (
	// A third of the depots' lease, so that two renewals may be late.
	renewPeriod = 20 * time.Second
	// Bounds the registration of an attempt that never ends by a fault.
	maxHold = 15 * time.Minute
	// A depot that failed is not asked again for so long: requests must not
	// wait for its connect timeout one after another.
	suspectTime = 2 * time.Second
)

// message asks the task for one thing; the fields of the others are empty.
type message struct {
	hold *hold
	// Attempt id whose registration ends.
	release string
	// Address of a depot that failed.
	suspect string
	asked   *asked
}

// hold is a registration of this process.
type hold struct {
	attempt string
	s       *frame.Stream
	cancel  context.CancelFunc
}

type asked struct {
	address string
	reply   chan bool
}

func (k *Client) run(c context.Context) {
	defer close(k.done)
	h := map[string]*hold{}
	s := map[string]time.Time{}
	for {
		select {
		case <-c.Done():
			for _, w := range h {
				w.cancel()
			}
			return
		case m := <-k.messages:
			handle(m, h, s)
		}
	}
}

func handle(m message, holds map[string]*hold, suspects map[string]time.Time) {
	switch {
	case m.hold != nil:
		if w := holds[m.hold.attempt]; w != nil {
			w.cancel()
		}
		holds[m.hold.attempt] = m.hold
	case m.release != "":
		if w := holds[m.release]; w != nil {
			w.cancel()
			delete(holds, m.release)
		}
	case m.suspect != "":
		suspects[m.suspect] = time.Now().Add(suspectTime)
	case m.asked != nil:
		t, o := suspects[m.asked.address]
		if o && !time.Now().Before(t) {
			delete(suspects, m.asked.address)
			o = false
		}
		m.asked.reply <- o
	}
}

func (k *Client) tell(m message) bool {
	select {
	case k.messages <- m:
		return true
	case <-k.done:
		return false
	}
}

// hold keeps a registration alive until it is released.
func (k *Client) hold(s *frame.Stream, r *wire.Answer) {
	c, f := context.WithTimeout(context.Background(), maxHold)
	go func() {
		renew(c, s, r)
		k.release(r.GetAttemptId())
	}()
	if !k.tell(message{hold: &hold{r.GetAttemptId(), s, f}}) {
		f()
	}
}

// renew sends the Begin again from time to time and closes the stream when c
// ends.
func renew(c context.Context, s *frame.Stream, r *wire.Answer) {
	defer s.Close()
	t := time.NewTicker(renewPeriod)
	defer t.Stop()
	for {
		select {
		case <-c.Done():
			return
		case <-t.C:
			_ = s.SetDeadline(time.Now().Add(renewPeriod))
			if s.Send(r) != nil {
				return
			}
		}
	}
}

func (k *Client) release(attempt string) {
	if attempt != "" {
		k.tell(message{release: attempt})
	}
}

func (k *Client) suspect(address string) { k.tell(message{suspect: address}) }

func (k *Client) suspected(address string) bool {
	r := make(chan bool, 1)
	return k.tell(message{asked: &asked{address, r}}) && <-r
}
