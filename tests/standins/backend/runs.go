package main

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/encapsulator"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/verifier"
)

const (
	// attemptMemory is how long an attempt is remembered to recognize its duplicates.
	attemptMemory = 60 * time.Second
	// answerMemory is how long a finished answer can be fetched.
	answerMemory = 15 * time.Second
	// coldFactor is how much slower a cold server is at its start; the factor falls linearly to 1.
	coldFactor = 3
)

type attemptState uint8

const (
	attemptQueued attemptState = iota
	attemptRunning
	attemptFinished
	attemptRefused // never began and never will
	attemptCanceled
)

// attempt is one attempt of a request.
type attempt struct {
	id       uint64
	packet   encapsulator.Packet // of the latest packet that concerned the attempt
	payload  []byte
	deadline time.Time
	source   netip.AddrPort
	state    attemptState
	cause    framer.Cause
	parts    int
	record   int // index in the ledger's runs
	began    time.Time
	finished time.Time
	ended    time.Time
	timer    *time.Timer
}

func (s *server) run(p *encapsulator.Packet, from netip.AddrPort) {
	now := time.Now()
	if a := s.attempts[p.Attempt]; a != nil && p.Attempt != 0 {
		s.ledger.Duplicates++
		s.repeat(a, p, from)
		return
	}
	a := &attempt{id: p.Attempt, packet: *p, payload: p.Payload, deadline: p.Deadline, source: from}
	if cause := s.refusal(p, now); cause != framer.CauseNone {
		s.remember(a)
		s.refuseAttempt(a, now, cause)
		return
	}
	s.remember(a)
	s.byCall[p.Call] = a
	if s.running < s.slots {
		s.begin(a, now)
		return
	}
	s.queue = append(s.queue, a)
}

// refusal says why new work is refused, or CauseNone.
func (s *server) refusal(p *encapsulator.Packet, now time.Time) framer.Cause {
	switch {
	case p.Incarnation != 0 && p.Incarnation != s.incarnation:
		return framer.CauseRestarted
	case !p.Deadline.IsZero() && now.After(p.Deadline):
		return framer.CauseExpired
	case s.draining:
		return framer.CauseDraining
	case s.faults.ShedRate > 0 && s.random.Float64() < s.faults.ShedRate:
		return framer.CauseShed
	case p.Verb == encapsulator.VerbRun && s.running >= s.slots && len(s.queue) >= s.config.queue:
		return framer.CauseShed
	case p.Verb == encapsulator.VerbOpen && len(s.feeds) >= s.connections:
		return framer.CauseShed
	}
	return framer.CauseNone
}

func (s *server) remember(a *attempt) {
	if a.id != 0 {
		s.attempts[a.id] = a
	}
}

func (s *server) refuseAttempt(a *attempt, now time.Time, cause framer.Cause) {
	a.state, a.cause, a.ended = attemptRefused, cause, now
	s.refuse(&a.packet, a.source, cause)
}

// repeat answers a duplicate with what became of the attempt.
func (s *server) repeat(a *attempt, p *encapsulator.Packet, from netip.AddrPort) {
	a.touch(p, from)
	switch a.state {
	case attemptRefused:
		if a.cause == framer.CauseCanceled {
			s.reply(p, from, encapsulator.VerbCanceled, nil)
			return
		}
		s.refuse(p, from, a.cause)
	case attemptQueued:
		s.reply(p, from, encapsulator.VerbAccepted, nil)
	case attemptRunning, attemptCanceled:
		s.reply(p, from, encapsulator.VerbRunning, nil)
	case attemptFinished:
		if !s.answer(a, nil) {
			s.reply(p, from, encapsulator.VerbRunning, nil)
		}
	}
}

func (a *attempt) touch(p *encapsulator.Packet, from netip.AddrPort) {
	a.packet, a.source = *p, from
	a.packet.Attempt = a.id
}

func (s *server) begin(a *attempt, now time.Time) {
	s.running++
	a.state, a.began = attemptRunning, now
	a.record = len(s.ledger.Runs)
	s.ledger.Runs = append(s.ledger.Runs, admin.Run{
		CallID: verifier.FormatCallID(a.packet.Call), AttemptID: a.id, Caller: a.packet.Caller, Key: verifier.Key(a.payload), StartedAt: now,
	})
	s.countWork(a.packet.Caller.Addr())
	a.timer = time.AfterFunc(s.serviceTime(a.payload, now), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if a.state == attemptRunning {
			s.finish(a, time.Now())
		}
	})
}

// serviceTime draws a service time. A payload such as "key;work=50ms" sets it.
func (s *server) serviceTime(payload []byte, now time.Time) time.Duration {
	d := s.mean
	if given, err := time.ParseDuration(verifier.Option(payload, "work")); err == nil {
		d = given
	} else if !s.fixed {
		d = time.Duration(s.random.ExpFloat64() * float64(s.mean))
	}
	if left := s.cold - now.Sub(s.started); left > 0 {
		d = time.Duration(float64(d) * (1 + (coldFactor-1)*float64(left)/float64(s.cold)))
	}
	return d
}

func (s *server) finish(a *attempt, now time.Time) {
	a.state = attemptFinished
	a.parts = verifier.PartCount(a.packet.Call, a.payload, s.parts)
	s.release(a, now)
	s.answer(a, nil)
}

// release frees the slot of a running attempt and begins the next one in the queue.
func (s *server) release(a *attempt, now time.Time) {
	s.running--
	a.finished, a.ended = now, now
	s.ledger.Runs[a.record].FinishedAt = now
	s.ledger.BusyTime += admin.Duration(now.Sub(a.began))
	for s.running < s.slots && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if next.expired(now) {
			s.refuseAttempt(next, now, framer.CauseExpired)
			continue
		}
		s.begin(next, now)
	}
}

func (a *attempt) expired(now time.Time) bool { return !a.deadline.IsZero() && now.After(a.deadline) }

// answer sends the parts of a finished answer that are set in the bitmap, or all of them without one. It returns false
// when the answer is no longer held.
func (s *server) answer(a *attempt, missing []byte) bool {
	if time.Since(a.finished) > answerMemory {
		return false
	}
	for n := range a.parts {
		if len(missing) > 0 && (n/8 >= len(missing) || missing[n/8]&(1<<(n%8)) == 0) {
			continue
		}
		s.reply(&a.packet, a.source, encapsulator.VerbAnswer, func(r *encapsulator.Packet) {
			r.Seq, r.Count, r.Payload = uint64(n), uint32(a.parts), verifier.Part(s.service, r.Call, n)
		})
	}
	return true
}

// find returns the attempt that a packet names by its id, or else by its call.
func (s *server) find(p *encapsulator.Packet) *attempt {
	if p.Attempt != 0 {
		return s.attempts[p.Attempt]
	}
	return s.byCall[p.Call]
}

// fetch reports what became of an attempt. One that never arrived gets no reply, since it may still arrive and run.
func (s *server) fetch(p *encapsulator.Packet, from netip.AddrPort) {
	a := s.find(p)
	if a == nil {
		return
	}
	if a.state != attemptFinished {
		s.repeat(a, p, from)
		return
	}
	a.touch(p, from)
	if !s.answer(a, p.Payload) {
		s.reply(p, from, encapsulator.VerbRunning, nil)
	}
}

// cancel ends an attempt. The reply canceled promises that it never began; an attempt that is not known yet is
// remembered, so that it is not run when it arrives later.
func (s *server) cancel(p *encapsulator.Packet, from netip.AddrPort) {
	now := time.Now()
	a := s.find(p)
	if a == nil {
		if p.Attempt == 0 {
			return
		}
		a = &attempt{id: p.Attempt, packet: *p, source: from, state: attemptRefused, cause: framer.CauseCanceled, ended: now}
		s.remember(a)
		s.recordCancel(a, now)
		s.reply(p, from, encapsulator.VerbCanceled, nil)
		return
	}
	a.touch(p, from)
	switch a.state {
	case attemptQueued:
		s.queue = slices.DeleteFunc(s.queue, func(q *attempt) bool { return q == a })
		a.state, a.cause, a.ended = attemptRefused, framer.CauseCanceled, now
		s.recordCancel(a, now)
		s.reply(p, from, encapsulator.VerbCanceled, nil)
	case attemptRunning:
		a.timer.Stop()
		a.state = attemptCanceled
		s.ledger.Runs[a.record].Canceled = true
		s.release(a, now)
		s.reply(p, from, encapsulator.VerbRunning, nil)
	default:
		s.repeat(a, p, from)
	}
}

func (s *server) recordCancel(a *attempt, now time.Time) {
	s.ledger.Refusals = append(s.ledger.Refusals, admin.Refusal{
		CallID: verifier.FormatCallID(a.packet.Call), AttemptID: a.id, Verb: uint8(encapsulator.VerbCancel),
		Cause: uint8(framer.CauseCanceled), At: now,
	})
}

// countWork counts one run or feed for the caller group of an address, 127.3.G.K.
func (s *server) countWork(caller netip.Addr) {
	if p, err := caller.Unmap().Prefix(24); err == nil {
		s.ledger.WorkByCallerGroup[p.String()]++
	}
}

// expire refuses queued attempts past their deadline and forgets attempts past their memory.
func (s *server) expire(now time.Time) {
	s.queue = slices.DeleteFunc(s.queue, func(a *attempt) bool {
		if a.expired(now) {
			s.refuseAttempt(a, now, framer.CauseExpired)
		}
		return a.state == attemptRefused
	})
	for id, a := range s.attempts {
		if !a.ended.IsZero() && now.Sub(a.ended) > attemptMemory {
			delete(s.attempts, id)
		}
	}
	for call, a := range s.byCall {
		if !a.ended.IsZero() && now.Sub(a.ended) > attemptMemory {
			delete(s.byCall, call)
		}
	}
	s.dropSilentFeeds(now)
}
