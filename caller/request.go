package caller

import (
	"context"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/framer"
)

const (
	// fetchQuiet is the pause between answer parts after which the missing ones are asked for.
	fetchQuiet = 40 * time.Millisecond
	// fetchLimit is the number of fetches without a new part after which an idempotent request is sent again: the
	// backend server that holds the answer may be gone.
	fetchLimit = 4
	// maxMargin bounds the time that is kept back from the deadline in datagrams, so that the gate's last word can
	// arrive before the caller's own deadline.
	maxMargin = 100 * time.Millisecond
	// unheardLimit is the number of retransmissions to a silent balancer after which another one gets the request.
	unheardLimit = 3
	// wrongServiceLimit is the number of refusals as wrong-service that end a request.
	wrongServiceLimit = 3
	// refusedWait is the least wait before a refused call is tried again.
	refusedWait = 50 * time.Millisecond
)

// Outcome is how a request ended.
type Outcome uint8

// The outcomes. An idempotent request ends in Answered or Failed, a non-idempotent one in Answered, NotRun or Unknown.
const (
	// Answered means that Result.Answer is the whole answer.
	Answered Outcome = iota + 1
	// NotRun promises that the request did not run and will not run.
	NotRun
	// Unknown means that the request may have run or may still run.
	Unknown
	// Failed means that no answer to an idempotent request arrived.
	Failed
)

// String returns the kebab-case name of the outcome.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	case Failed:
		return "failed"
	}
	return "none"
}

// RequestOptions says how a request is sent.
type RequestOptions struct {
	// Idempotent allows the request to run more than once. Otherwise it runs at most once.
	Idempotent bool
}

// Result is the end of a request.
type Result struct {
	Outcome Outcome
	// Cause says why the outcome is not Answered.
	Cause  framer.Cause
	Answer []byte
	Call   [framer.CallIDSize]byte
}

// request is the state of one request. It is used by one goroutine.
type request struct {
	caller     *Caller
	call       callID
	payload    []byte
	idempotent bool
	deadline   time.Time // as sent in datagrams

	// gate is the gate token: of a non-idempotent request the first one received, and the only one used; of an
	// idempotent one the newest, which leads retransmissions to the balancer that holds the request.
	gate     []byte
	unheard  int  // retransmissions with the token of an idempotent request since the balancer was last heard
	executed bool // execute was sent at least once
	answer   assembly
	cause    framer.Cause // of the last refusal
	// wrongService counts the refusals with that cause.
	wrongService int
	resend       backoff
	fetch        backoff
	fetches      int       // since the last new part
	due          time.Time // of the next retransmission
}

// Request sends one request and waits for its outcome until the context's deadline. When the context is canceled, the
// outcome of a non-idempotent request is what the gate says within a short wait, and Unknown without its word.
//
// The error is nil for each outcome that the service or the deadline decides. ErrClosed comes with a valid Result.
func (c *Caller) Request(ctx context.Context, payload []byte, o RequestOptions) (Result, error) {
	if len(payload) > framer.MaxPayload {
		return Result{}, ErrTooLarge
	}
	deadline := c.deadline(ctx)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	box := make(chan message, mailboxSize)
	id, err := c.register(box)
	if err != nil {
		return Result{}, err
	}
	defer c.unregister(id)
	margin := min(max(deadline.Sub(c.config.Now())/10, 0), maxMargin)
	r := &request{
		caller: c, call: id, payload: payload, idempotent: o.Idempotent, deadline: deadline.Add(-margin),
		answer: assembly{maxSize: c.config.MaxAnswer},
		resend: c.backoff(c.config.Resend), fetch: c.backoff(fetchQuiet),
	}
	return r.run(ctx, box)
}

func (r *request) run(ctx context.Context, box <-chan message) (Result, error) {
	if ctx.Err() != nil {
		return r.giveUp(causeOf(ctx)), nil
	}
	r.transmit()
	timer := time.NewTimer(r.wait())
	defer timer.Stop()
	for {
		select {
		case m := <-box:
			if result, ok := r.handle(m); ok {
				return result, nil
			}
		case <-timer.C:
			r.transmit()
		case <-ctx.Done():
			return r.stop(ctx, box)
		case <-r.caller.done:
			return r.giveUp(framer.CauseCanceled), ErrClosed
		}
		timer.Reset(r.wait())
	}
}

func (r *request) wait() time.Duration { return max(r.due.Sub(r.caller.config.Now()), 0) }

func (r *request) dueIn(d time.Duration) { r.due = r.caller.config.Now().Add(d) }

// causeOf translates the end of a context.
func causeOf(ctx context.Context) framer.Cause {
	if ctx.Err() == context.Canceled {
		return framer.CauseCanceled
	}
	return framer.CauseExpired
}

// giveUp returns the outcome that the library decides on its own: NotRun only when execute was never sent.
func (r *request) giveUp(cause framer.Cause) Result {
	switch {
	case r.idempotent:
		return r.result(Failed, cause)
	case r.executed:
		return r.result(Unknown, cause)
	default:
		return r.result(NotRun, cause)
	}
}

func (r *request) result(o Outcome, cause framer.Cause) Result {
	return Result{Outcome: o, Cause: cause, Call: r.call}
}

// transmit sends what the request waits for: missing parts of an answer that has begun, or the request itself.
func (r *request) transmit() {
	if r.answer.begun() {
		r.sendFetch()
		r.dueIn(r.fetch.next())
		return
	}
	r.sendFirst()
	r.dueIn(r.resend.next())
}

func (r *request) sendFirst() {
	d := framer.Datagram{CallID: r.call, Deadline: r.deadline}
	switch {
	case r.idempotent:
		d.Kind, d.Payload = framer.KindRequest, r.payload
		if r.unheard >= unheardLimit {
			r.gate = nil // that balancer is gone: any other takes the request as new
		}
		d.Token = r.gate
		r.unheard++
	case r.gate == nil:
		d.Kind = framer.KindReserve
	default:
		d.Kind, d.Token, d.Payload = framer.KindExecute, r.gate, r.payload
		r.executed = true
	}
	r.caller.send(&d)
}

func (r *request) sendFetch() {
	token, bitmap := r.answer.wanted()
	if len(token) == 0 {
		token = r.gate
	}
	r.caller.send(&framer.Datagram{
		Kind: framer.KindFetch, CallID: r.call, Deadline: r.deadline, Token: token, Payload: bitmap,
	})
	r.fetches++
	if r.fetches >= fetchLimit && r.idempotent {
		r.fetches = 0
		r.sendFirst()
	}
}

// handle takes one datagram of this call. It returns true with the result when the request has ended.
func (r *request) handle(m message) (Result, bool) {
	switch m.kind {
	case framer.KindReserved:
		return r.onReserved(m)
	case framer.KindAnswer:
		return r.onAnswer(m)
	case framer.KindNotRun:
		// Only a gate that received execute decides this. A part of the answer proves that the request ran.
		if r.executed && !r.answer.begun() {
			return r.result(NotRun, m.cause), true
		}
	case framer.KindOutcomeUnknown:
		if r.executed && !r.answer.begun() {
			return r.result(Unknown, m.cause), true
		}
	case framer.KindRefused:
		return r.onRefused(m)
	}
	return Result{}, false
}

func (r *request) onReserved(m message) (Result, bool) {
	if r.idempotent {
		r.gate, r.unheard = m.token, 0
		return Result{}, false
	}
	if r.gate != nil || len(m.token) == 0 {
		return Result{}, false
	}
	if !r.caller.config.Now().Before(r.deadline) {
		return r.result(NotRun, framer.CauseExpired), true
	}
	r.gate = m.token
	r.resend = r.caller.backoff(r.caller.config.Resend)
	r.transmit()
	return Result{}, false
}

func (r *request) onAnswer(m message) (Result, bool) {
	if !r.idempotent && !r.executed {
		return Result{}, false
	}
	answer, err := r.answer.add(m)
	if err != nil {
		if r.idempotent {
			return r.result(Failed, framer.CauseTooLarge), true
		}
		return r.result(Unknown, framer.CauseTooLarge), true
	}
	if answer != nil {
		result := r.result(Answered, framer.CauseNone)
		result.Answer = answer
		return result, true
	}
	if r.answer.begun() {
		r.fetches = 0
		r.fetch = r.caller.backoff(fetchQuiet)
		r.dueIn(r.fetch.next())
	}
	return Result{}, false
}

// onRefused handles a refusal of the request, of reserve, or of a fetch. A refusal after execute is not the gate's word,
// so the request goes on until its deadline.
func (r *request) onRefused(m message) (Result, bool) {
	r.cause = m.cause
	if r.executed && !r.answer.begun() {
		return Result{}, false
	}
	switch m.cause {
	case framer.CauseRateLimited: // sent again at the pace of the back-off
	case framer.CauseStopping, framer.CauseDraining:
		r.delay()
	case framer.CauseWrongService:
		// A balancer with older settings may say so for a while after an address was given to another service.
		r.wrongService++
		if r.wrongService >= wrongServiceLimit && !r.answer.begun() {
			return r.giveUp(m.cause), true
		}
		r.delay()
	case framer.CauseBadToken, framer.CauseUnknownFlow, framer.CauseRestarted:
		// The answer token no longer leads to the answer. Another run, or the gate, gives a new one.
		r.answer.clear()
		r.delay()
	default:
		if !r.answer.begun() {
			return r.giveUp(m.cause), true
		}
	}
	return Result{}, false
}

// delay brings the next retransmission forward, so that another balancer is tried soon.
func (r *request) delay() {
	soon := r.caller.config.Now().Add(r.caller.jitter(refusedWait))
	if soon.Before(r.due) {
		r.due = soon
	}
}

// stop ends a request whose context is done. A canceled one waits for the gate's word.
func (r *request) stop(ctx context.Context, box <-chan message) (Result, error) {
	cause := causeOf(ctx)
	for len(box) > 0 {
		if result, ok := r.handle(<-box); ok {
			return result, nil
		}
	}
	r.sendCancel()
	if cause == framer.CauseExpired && r.cause != framer.CauseNone {
		cause = r.cause
	}
	if ctx.Err() != context.Canceled || !r.executed {
		return r.giveUp(cause), nil
	}
	end := time.NewTimer(r.caller.config.Linger)
	defer end.Stop()
	again := time.NewTimer(r.caller.config.Linger / 2)
	defer again.Stop()
	for {
		select {
		case m := <-box:
			if result, ok := r.handle(m); ok {
				return result, nil
			}
		case <-again.C:
			r.sendCancel()
		case <-end.C:
			return r.giveUp(cause), nil
		case <-r.caller.done:
			return r.giveUp(cause), ErrClosed
		}
	}
}

func (r *request) sendCancel() {
	if !r.idempotent && !r.executed {
		return
	}
	d := framer.Datagram{Kind: framer.KindCancel, CallID: r.call, Deadline: r.deadline, Token: r.gate}
	if r.idempotent && r.answer.begun() {
		d.Token, _ = r.answer.wanted()
	}
	r.caller.send(&d)
}
