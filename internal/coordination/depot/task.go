package depot

import (
	"context"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// leaseDuration is the lifetime of a registration without renewal. A stream
// whose session is silent is closed by the keepalive long before that.
const leaseDuration = 60 * time.Second

// message is a request to the owner goroutine. Exactly one of the fields is set.
type message struct {
	// Starts a write. The reply is false while the depot drains.
	beginWrite chan bool
	// Ends a write.
	endWrite bool
	// Registers an attempt or renews its registration.
	register *registerRequest
	// Ends a registration.
	unregister *unregisterRequest
	// Asks whether an attempt is running.
	isRunning *runningRequest
	// Starts the drain. Closed when no write is in progress.
	drained chan struct{}
}

// requestKey identifies a request in the registrations.
type requestKey struct {
	caller, request string
}

type registerRequest struct {
	key     requestKey
	attempt string
	digest  string
	reply   chan wire.AnswerReply_Result
}

type unregisterRequest struct {
	key requestKey
	// Restricts the call to the registration of this attempt; any if empty.
	attempt string
}

type runningRequest struct {
	key   requestKey
	reply chan bool
}

type registration struct {
	attempt string
	digest  string
	expires time.Time
}

// state is owned by the goroutine that executes run.
type state struct {
	registrations map[requestKey]registration
	writes        int
	draining      bool
	// Closed when the last write has ended; nil before and after the drain.
	drained chan struct{}
}

func (d *Depot) run(ctx context.Context) {
	defer close(d.done)
	t := &state{registrations: map[requestKey]registration{}}
	w := time.NewTicker(leaseDuration)
	defer w.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-d.messages:
			t.handle(m)
		case n := <-w.C:
			t.expire(n)
		}
		if t.drained != nil && t.writes == 0 {
			close(t.drained)
			t.drained = nil
		}
	}
}

// handle processes one message.
func (t *state) handle(message message) {
	switch {
	case message.beginWrite != nil:
		if !t.draining {
			t.writes++
		}
		message.beginWrite <- !t.draining
	case message.endWrite:
		t.writes--
	case message.register != nil:
		message.register.reply <- t.register(message.register, time.Now())
	case message.unregister != nil:
		r, o := t.registrations[message.unregister.key]
		if o && (message.unregister.attempt == "" || message.unregister.attempt == r.attempt) {
			delete(t.registrations, message.unregister.key)
		}
	case message.isRunning != nil:
		r, o := t.registrations[message.isRunning.key]
		message.isRunning.reply <- o && time.Now().Before(r.expires)
	case message.drained != nil:
		t.draining, t.drained = true, message.drained
	}
}

// register registers an attempt or renews its registration. It rejects the
// attempt while another one holds a registration for the request.
func (t *state) register(request *registerRequest, now time.Time) wire.AnswerReply_Result {
	r, o := t.registrations[request.key]
	if o && r.attempt != request.attempt && now.Before(r.expires) {
		if r.digest != request.digest {
			return wire.AnswerReply_RESULT_MISMATCH
		}
		return wire.AnswerReply_RESULT_RUNNING
	}
	t.registrations[request.key] = registration{request.attempt, request.digest, now.Add(leaseDuration)}
	return wire.AnswerReply_RESULT_BEGUN
}

func (t *state) expire(now time.Time) {
	for q, r := range t.registrations {
		if !now.Before(r.expires) {
			delete(t.registrations, q)
		}
	}
}

// sendMessage sends a message to the owner goroutine.
func (d *Depot) sendMessage(ctx context.Context, message message) error {
	select {
	case d.messages <- message:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-d.done:
		return context.Canceled
	}
}

// beginWrite counts a write as in progress and returns true, or returns false
// while the depot drains. After true, endWrite must be called.
func (d *Depot) beginWrite(ctx context.Context) bool {
	r := make(chan bool, 1)
	return d.sendMessage(ctx, message{beginWrite: r}) == nil && <-r
}

// endWrite ends a write. It takes no context because the message must reach the
// owner goroutine even after the write's context has ended.
func (d *Depot) endWrite() {
	_ = d.sendMessage(context.Background(), message{endWrite: true})
}
