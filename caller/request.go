package caller

import (
	"context"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/framer"
)

const (
	// fetchDelay is the time without an answer part after which the missing parts are fetched for the first time.
	fetchDelay = 40 * time.Millisecond
	// fetchesPerRetransmission is the number of fetches without an answer part in return after which an idempotent request is
	// retransmitted, because the backend server that has the answer may be down.
	fetchesPerRetransmission = 4
	// maxDeadlineMargin bounds how much earlier than the caller's deadline the deadline in datagrams is, so that the gate's final
	// decision can arrive in time. Below this bound it is a tenth of the remaining time.
	maxDeadlineMargin = 100 * time.Millisecond
	// maxUnansweredSends is the number of retransmissions to an unresponsive balancer after which the request goes to any balancer.
	maxUnansweredSends = 3
	// maxWrongServiceRefusals is the number of refusals with the cause wrong-service after which a request ends.
	maxWrongServiceRefusals = 3
	// refusalRetryDelay is the delay before a refused request is sent again, unless its next retransmission is due earlier.
	refusalRetryDelay = 50 * time.Millisecond
)

// Outcome is how a request ended.
type Outcome uint8

// The outcomes. An idempotent request ends in Answered or Failed, a non-idempotent one in Answered, NotRun or Unknown.
const (
	// Answered means that Result.Answer is the whole answer.
	Answered Outcome = iota + 1
	// NotRun guarantees that the request did not run and will not run.
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

// RequestOptions are the options of one request.
type RequestOptions struct {
	// Idempotent allows the request to run more than once. Otherwise it runs at most once.
	Idempotent bool
}

// Result is the outcome of a request with its details.
type Result struct {
	Outcome Outcome
	// Cause is the reason for an outcome other than Answered.
	Cause  framer.Cause
	Answer []byte
	CallID [framer.CallIDSize]byte
}

// request is the state of one request. It is used by one goroutine.
type request struct {
	caller     *Caller
	call       callID
	payload    []byte
	idempotent bool
	deadline   time.Time // in datagrams; earlier than the caller's own by the margin

	// reservedToken is the token of a reserved datagram. A non-idempotent request uses only the first one received, which is its
	// gate token: a second one could run it twice. An idempotent request uses the latest one, which routes retransmissions to
	// the balancer that has the request already.
	reservedToken   []byte
	unansweredSends int  // transmissions of an idempotent request since the last reserved datagram
	executeSent     bool // at least one execute datagram was sent
	answer          reassembler
	lastRefusal     framer.Cause // cause of the last refused datagram
	// wrongServiceRefusals counts the refusals with the cause wrong-service.
	wrongServiceRefusals int
	retransmitBackoff    backoff
	fetchBackoff         backoff
	unansweredFetches    int       // since the last answer part
	nextSend             time.Time // time of the next retransmission or fetch
}

// Request sends one request and waits for its outcome until the context's deadline, or for Config.Timeout without one. If the
// context is canceled after a non-idempotent request was sent to its gate, Request waits up to Config.CancelTimeout for the
// gate's decision; without one, the outcome is Unknown.
//
// The error is nil when the service, the deadline or the cancellation decides the outcome. ErrClosed is returned together with a
// valid Result if the Caller is closed while the request waits.
func (c *Caller) Request(ctx context.Context, payload []byte, o RequestOptions) (Result, error) {
	if len(payload) > framer.MaxPayload {
		return Result{}, ErrTooLarge
	}
	deadline := c.deadline(ctx)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	queue := make(chan message, receiveQueueSize)
	id, err := c.register(queue)
	if err != nil {
		return Result{}, err
	}
	defer c.unregister(id)
	margin := min(max(deadline.Sub(c.config.Now())/10, 0), maxDeadlineMargin)
	r := &request{
		caller: c, call: id, payload: payload, idempotent: o.Idempotent, deadline: deadline.Add(-margin),
		answer:            reassembler{maxSize: c.config.MaxAnswerSize},
		retransmitBackoff: c.newBackoff(c.config.RetransmitDelay), fetchBackoff: c.newBackoff(fetchDelay),
	}
	return r.run(ctx, queue)
}

// run transmits the request until an outcome is known, the context is done or the Caller is closed.
func (r *request) run(ctx context.Context, queue <-chan message) (Result, error) {
	if ctx.Err() != nil {
		return r.giveUp(causeFromContext(ctx)), nil
	}
	r.transmit()
	timer := time.NewTimer(r.untilSend())
	defer timer.Stop()
	for {
		select {
		case m := <-queue:
			if result, ok := r.handleMessage(m); ok {
				return result, nil
			}
		case <-timer.C:
			r.transmit()
		case <-ctx.Done():
			return r.onContextDone(ctx, queue)
		case <-r.caller.done:
			return r.giveUp(framer.CauseCanceled), ErrClosed
		}
		timer.Reset(r.untilSend())
	}
}

func (r *request) untilSend() time.Duration { return max(r.nextSend.Sub(r.caller.config.Now()), 0) }

func (r *request) scheduleSend(d time.Duration) { r.nextSend = r.caller.config.Now().Add(d) }

// causeFromContext returns the cause for a context that is done: canceled or expired.
func causeFromContext(ctx context.Context) framer.Cause {
	if ctx.Err() == context.Canceled {
		return framer.CauseCanceled
	}
	return framer.CauseExpired
}

// giveUp returns the result of a request that ends without the service's decision. A non-idempotent one certainly did not run
// only if no execute datagram was sent.
func (r *request) giveUp(cause framer.Cause) Result {
	switch {
	case r.idempotent:
		return r.newResult(Failed, cause)
	case r.executeSent:
		return r.newResult(Unknown, cause)
	default:
		return r.newResult(NotRun, cause)
	}
}

func (r *request) newResult(o Outcome, cause framer.Cause) Result {
	return Result{Outcome: o, Cause: cause, CallID: r.call}
}

// transmit fetches the missing parts if part of an answer has arrived; otherwise it sends or retransmits the request. It
// schedules the next transmission.
func (r *request) transmit() {
	if r.answer.started() {
		r.sendFetch()
		r.scheduleSend(r.fetchBackoff.next())
		return
	}
	r.sendRequest()
	r.scheduleSend(r.retransmitBackoff.next())
}

// sendRequest sends an idempotent request, or the current step of a non-idempotent one: reserve, then execute.
func (r *request) sendRequest() {
	d := framer.Datagram{CallID: r.call, Deadline: r.deadline}
	switch {
	case r.idempotent:
		d.Kind, d.Payload = framer.KindRequest, r.payload
		if r.unansweredSends >= maxUnansweredSends {
			r.reservedToken = nil // that balancer may be down: without the token any balancer accepts the request as new
		}
		d.Token = r.reservedToken
		r.unansweredSends++
	case r.reservedToken == nil:
		d.Kind = framer.KindReserve
	default:
		d.Kind, d.Token, d.Payload = framer.KindExecute, r.reservedToken, r.payload
		r.executeSent = true
	}
	r.caller.send(&d)
}

// sendFetch requests the missing parts of the answer. After fetchesPerRetransmission fetches without a part, it also retransmits
// an idempotent request.
func (r *request) sendFetch() {
	token, bitmap := r.answer.missingParts()
	if len(token) == 0 {
		token = r.reservedToken
	}
	r.caller.send(&framer.Datagram{
		Kind: framer.KindFetch, CallID: r.call, Deadline: r.deadline, Token: token, Payload: bitmap,
	})
	r.unansweredFetches++
	if r.unansweredFetches >= fetchesPerRetransmission && r.idempotent {
		r.unansweredFetches = 0
		r.sendRequest()
	}
}

// handleMessage handles one datagram of this call. It returns true with the result when the request has ended.
func (r *request) handleMessage(m message) (Result, bool) {
	switch m.kind {
	case framer.KindReserved:
		return r.onReserved(m)
	case framer.KindAnswer:
		return r.onAnswer(m)
	case framer.KindNotRun:
		// Only a gate that received execute can decide that the request did not run. An answer part proves that it ran.
		if r.executeSent && !r.answer.started() {
			return r.newResult(NotRun, m.cause), true
		}
	case framer.KindOutcomeUnknown:
		if r.executeSent && !r.answer.started() {
			return r.newResult(Unknown, m.cause), true
		}
	case framer.KindRefused:
		return r.onRefused(m)
	}
	return Result{}, false
}

// onReserved stores the token of a reserved datagram. For a non-idempotent request the first one starts execute, unless the
// deadline has passed.
func (r *request) onReserved(m message) (Result, bool) {
	if r.idempotent {
		r.reservedToken, r.unansweredSends = m.token, 0
		return Result{}, false
	}
	if r.reservedToken != nil || len(m.token) == 0 {
		return Result{}, false
	}
	if !r.caller.config.Now().Before(r.deadline) {
		return r.newResult(NotRun, framer.CauseExpired), true
	}
	r.reservedToken = m.token
	r.retransmitBackoff = r.caller.newBackoff(r.caller.config.RetransmitDelay)
	r.transmit()
	return Result{}, false
}

// onAnswer adds one answer part. It ends the request when the answer is complete or too large.
func (r *request) onAnswer(m message) (Result, bool) {
	if !r.idempotent && !r.executeSent {
		return Result{}, false
	}
	answer, err := r.answer.add(m)
	if err != nil {
		if r.idempotent {
			return r.newResult(Failed, framer.CauseTooLarge), true
		}
		return r.newResult(Unknown, framer.CauseTooLarge), true
	}
	if answer != nil {
		result := r.newResult(Answered, framer.CauseNone)
		result.Answer = answer
		return result, true
	}
	if r.answer.started() {
		r.unansweredFetches = 0
		r.fetchBackoff = r.caller.newBackoff(fetchDelay)
		r.scheduleSend(r.fetchBackoff.next())
	}
	return Result{}, false
}

// onRefused handles a refusal of a request, reserve or fetch datagram. A refused execute is not a decision of the gate, so the
// request continues until its deadline.
func (r *request) onRefused(m message) (Result, bool) {
	r.lastRefusal = m.cause
	if r.executeSent && !r.answer.started() {
		return Result{}, false
	}
	switch m.cause {
	case framer.CauseRateLimited: // retransmitted after the backoff
	case framer.CauseStopping, framer.CauseDraining:
		r.retrySoon()
	case framer.CauseWrongService:
		// After an address was assigned to another service, balancers with older settings may still refuse it with this cause.
		r.wrongServiceRefusals++
		if r.wrongServiceRefusals >= maxWrongServiceRefusals && !r.answer.started() {
			return r.giveUp(m.cause), true
		}
		r.retrySoon()
	case framer.CauseBadToken, framer.CauseUnknownFlow, framer.CauseRestarted:
		// The answer is no longer available under this answer token. Another run, or the gate, provides a new token.
		r.answer.reset()
		r.retrySoon()
	default:
		if !r.answer.started() {
			return r.giveUp(m.cause), true
		}
	}
	return Result{}, false
}

// retrySoon moves the next transmission forward, because another balancer may accept it.
func (r *request) retrySoon() {
	soon := r.caller.config.Now().Add(r.caller.jitter(refusalRetryDelay))
	if soon.Before(r.nextSend) {
		r.nextSend = soon
	}
}

// onContextDone ends a request whose context is done. If execute was sent and the context was canceled, it waits for the gate's
// decision. It sends cancel again halfway, as the first one may be lost.
func (r *request) onContextDone(ctx context.Context, queue <-chan message) (Result, error) {
	cause := causeFromContext(ctx)
	for len(queue) > 0 {
		if result, ok := r.handleMessage(<-queue); ok {
			return result, nil
		}
	}
	r.sendCancel()
	if cause == framer.CauseExpired && r.lastRefusal != framer.CauseNone {
		cause = r.lastRefusal
	}
	if ctx.Err() != context.Canceled || !r.executeSent {
		return r.giveUp(cause), nil
	}
	timeout := time.NewTimer(r.caller.config.CancelTimeout)
	defer timeout.Stop()
	resend := time.NewTimer(r.caller.config.CancelTimeout / 2)
	defer resend.Stop()
	for {
		select {
		case m := <-queue:
			if result, ok := r.handleMessage(m); ok {
				return result, nil
			}
		case <-resend.C:
			r.sendCancel()
		case <-timeout.C:
			return r.giveUp(cause), nil
		case <-r.caller.done:
			return r.giveUp(cause), ErrClosed
		}
	}
}

// sendCancel cancels the request. Before execute a non-idempotent request has nothing to cancel.
func (r *request) sendCancel() {
	if !r.idempotent && !r.executeSent {
		return
	}
	d := framer.Datagram{Kind: framer.KindCancel, CallID: r.call, Deadline: r.deadline, Token: r.reservedToken}
	if r.idempotent && r.answer.started() {
		d.Token, _ = r.answer.missingParts()
	}
	r.caller.send(&d)
}
