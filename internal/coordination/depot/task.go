package depot

import (
	"context"
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// leaseTime is how long a registration lasts without renewal. A stream whose
// session went silent is closed by the keepalive long before.
const leaseTime = 60 * time.Second

// message asks the task for one thing; the fields of the others are empty.
type message struct {
	// Counts a write in progress; the reply is false while draining.
	enter chan bool
	// The write has ended.
	leave bool
	// Registers an attempt or renews its registration.
	begin *begin
	// Ends a registration.
	end *end
	// Asks whether an attempt runs.
	running *running
	// Starts the drain; closed when no write is in progress.
	drained chan struct{}
}

// question names a request for the registrations.
type question struct {
	caller, request string
}

type begin struct {
	q       question
	attempt string
	digest  string
	reply   chan wire.AnswerReply_Result
}

type end struct {
	q question
	// Ends the registration of this attempt only, or of any when empty.
	attempt string
}

type running struct {
	q     question
	reply chan bool
}

type registration struct {
	attempt string
	digest  string
	until   time.Time
}

// state belongs to the task.
type state struct {
	attempts map[question]registration
	writes   int
	draining bool
	// Closed when the last write has ended, nil before and after the drain.
	drained chan struct{}
}

func (d *Depot) run(c context.Context) {
	defer close(d.done)
	t := &state{attempts: map[question]registration{}}
	w := time.NewTicker(leaseTime)
	defer w.Stop()
	for {
		select {
		case <-c.Done():
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

// handle serves one message.
func (t *state) handle(m message) {
	switch {
	case m.enter != nil:
		if !t.draining {
			t.writes++
		}
		m.enter <- !t.draining
	case m.leave:
		t.writes--
	case m.begin != nil:
		m.begin.reply <- t.begin(m.begin, time.Now())
	case m.end != nil:
		r, o := t.attempts[m.end.q]
		if o && (m.end.attempt == "" || m.end.attempt == r.attempt) {
			delete(t.attempts, m.end.q)
		}
	case m.running != nil:
		r, o := t.attempts[m.running.q]
		m.running.reply <- o && time.Now().Before(r.until)
	case m.drained != nil:
		t.draining, t.drained = true, m.drained
	}
}

// begin registers an attempt, or renews it when it is registered.
func (t *state) begin(b *begin, now time.Time) wire.AnswerReply_Result {
	r, o := t.attempts[b.q]
	if o && r.attempt != b.attempt && now.Before(r.until) {
		if r.digest != b.digest {
			return wire.AnswerReply_RESULT_MISMATCH
		}
		return wire.AnswerReply_RESULT_RUNNING
	}
	t.attempts[b.q] = registration{b.attempt, b.digest, now.Add(leaseTime)}
	return wire.AnswerReply_RESULT_BEGUN
}

func (t *state) expire(now time.Time) {
	for q, r := range t.attempts {
		if !now.Before(r.until) {
			delete(t.attempts, q)
		}
	}
}

// tell sends a message to the task.
func (d *Depot) tell(c context.Context, m message) error {
	select {
	case d.messages <- m:
		return nil
	case <-c.Done():
		return c.Err()
	case <-d.done:
		return context.Canceled
	}
}

// enter counts a write in progress. It returns false while the depot drains;
// otherwise leave must be called.
func (d *Depot) enter(c context.Context) bool {
	r := make(chan bool, 1)
	return d.tell(c, message{enter: r}) == nil && <-r
}

// leave must reach the task even when the write's context has ended.
func (d *Depot) leave() {
	_ = d.tell(context.Background(), message{leave: true})
}
