package answer

import (
	"context"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
)

const (
	// A third of the lease of registrations at the depots, so that two renewals
	// may be late.
	renewInterval = 20 * time.Second
	// Bounds the registration of an attempt that, through a fault, is neither
	// stored nor abandoned.
	maxRegistration = 15 * time.Minute
	// Time for which a depot is not called after a failure, so that not every
	// request waits for its connect timeout.
	suspectPeriod = 2 * time.Second
)

// message is a message to the task that owns the registrations and the
// suspect depots. One of the fields is set.
type message struct {
	add *registration
	// Id of the attempt whose registration ends.
	release string
	// Address of a depot that failed.
	suspect string
	query   *suspectQuery
}

// registration is a registration that this process keeps alive at a depot.
type registration struct {
	attempt string
	stream  *frame.Stream
	cancel  context.CancelFunc
}

// suspectQuery asks whether a depot failed within the suspect period.
type suspectQuery struct {
	address string
	reply   chan bool
}

// run is the task. When ctx is done, it ends all registrations.
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
		case m := <-k.messages:
			handleMessage(m, h, s)
		}
	}
}

func handleMessage(msg message, registrations map[string]*registration, suspects map[string]time.Time) {
	switch {
	case msg.add != nil:
		if w := registrations[msg.add.attempt]; w != nil {
			w.cancel()
		}
		registrations[msg.add.attempt] = msg.add
	case msg.release != "":
		if w := registrations[msg.release]; w != nil {
			w.cancel()
			delete(registrations, msg.release)
		}
	case msg.suspect != "":
		suspects[msg.suspect] = time.Now().Add(suspectPeriod)
	case msg.query != nil:
		t, o := suspects[msg.query.address]
		if o && !time.Now().Before(t) {
			delete(suspects, msg.query.address)
			o = false
		}
		msg.query.reply <- o
	}
}

// send passes a message to the task. It returns false when the task has ended.
func (k *Client) send(msg message) bool {
	select {
	case k.messages <- msg:
		return true
	case <-k.done:
		return false
	}
}

// keepRegistered renews a registration until it is released or maxRegistration
// has passed.
func (k *Client) keepRegistered(stream *frame.Stream, request *wire.Answer) {
	c, f := context.WithTimeout(context.Background(), maxRegistration)
	go func() {
		renew(c, stream, request)
		k.release(request.GetAttemptId())
	}()
	if !k.send(message{add: &registration{request.GetAttemptId(), stream, f}}) {
		f()
	}
}

// renew repeats the Begin at the renew interval, and closes the stream when ctx
// is done.
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
		k.send(message{release: attempt})
	}
}

func (k *Client) markSuspect(address string) { k.send(message{suspect: address}) }

func (k *Client) isSuspect(address string) bool {
	r := make(chan bool, 1)
	return k.send(message{query: &suspectQuery{address, r}}) && <-r
}
