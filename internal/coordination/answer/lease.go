package answer

import (
	"context"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
)

const (
	// A third of the depots' lease, so that two renewals may be late.
	renewInterval = 20 * time.Second
	// Bounds the registration of an attempt that never ends by a fault.
	maxRegistration = 15 * time.Minute
	// A depot that failed is not asked again for so long: requests must not
	// wait for its connect timeout one after another.
	suspectPeriod = 2 * time.Second
)

// taskMessage asks the task for one thing; the fields of the others are empty.
type taskMessage struct {
	add *registration
	// Attempt id whose registration ends.
	release string
	// Address of a depot that failed.
	suspect   string
	isSuspect *suspectQuery
}

// registration is a registration of this process.
type registration struct {
	attempt string
	stream  *frame.Stream
	cancel  context.CancelFunc
}

type suspectQuery struct {
	address string
	reply   chan bool
}

func (k *Client) run(ctx context.Context) {
	defer close(k.done)
	h := map[string]*registration{}
	s := map[string]time.Time{}
	for {
		select {
		case <-ctx.Done():
			for _, w := range h {
				w.cancel()
			}
			return
		case m := <-k.updates:
			handle(m, h, s)
		}
	}
}

func handle(update taskMessage, registrations map[string]*registration, suspects map[string]time.Time) {
	switch {
	case update.add != nil:
		if w := registrations[update.add.attempt]; w != nil {
			w.cancel()
		}
		registrations[update.add.attempt] = update.add
	case update.release != "":
		if w := registrations[update.release]; w != nil {
			w.cancel()
			delete(registrations, update.release)
		}
	case update.suspect != "":
		suspects[update.suspect] = time.Now().Add(suspectPeriod)
	case update.isSuspect != nil:
		t, o := suspects[update.isSuspect.address]
		if o && !time.Now().Before(t) {
			delete(suspects, update.isSuspect.address)
			o = false
		}
		update.isSuspect.reply <- o
	}
}

func (k *Client) send(update taskMessage) bool {
	select {
	case k.updates <- update:
		return true
	case <-k.done:
		return false
	}
}

// keepRegistered keeps a registration alive until it is released.
func (k *Client) keepRegistered(stream *frame.Stream, request *wire.Answer) {
	c, f := context.WithTimeout(context.Background(), maxRegistration)
	go func() {
		renew(c, stream, request)
		k.release(request.GetAttemptId())
	}()
	if !k.send(taskMessage{add: &registration{request.GetAttemptId(), stream, f}}) {
		f()
	}
}

// renew sends the Begin again from time to time and closes the stream when c
// ends.
func renew(ctx context.Context, stream *frame.Stream, request *wire.Answer) {
	defer stream.Close()
	t := time.NewTicker(renewInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			_ = stream.SetDeadline(time.Now().Add(renewInterval))
			if stream.Send(request) != nil {
				return
			}
		}
	}
}

func (k *Client) release(attempt string) {
	if attempt != "" {
		k.send(taskMessage{release: attempt})
	}
}

func (k *Client) markSuspect(address string) { k.send(taskMessage{suspect: address}) }

func (k *Client) isSuspect(address string) bool {
	r := make(chan bool, 1)
	return k.send(taskMessage{isSuspect: &suspectQuery{address, r}}) && <-r
}
