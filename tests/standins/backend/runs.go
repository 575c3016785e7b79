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
	// attemptRetention is how long an ended attempt is kept for duplicate suppression.
	attemptRetention = 60 * time.Second
	// answerRetention is how long the answer of a finished attempt can be fetched.
	answerRetention = 15 * time.Second
	// coldFactor is the factor of service times right after the start. It falls linearly to 1 within the cold start.
	coldFactor = 3
)

type attemptState uint8

const (
	attemptQueued attemptState = iota
	attemptRunning
	attemptFinished
	attemptRefused  // never began and never will, also when canceled before its start
	attemptCanceled // canceled while it ran
)

// attempt is one attempt of a request.
type attempt struct {
	id          uint64
	packet      encapsulator.Packet // latest packet of the attempt
	payload     []byte
	deadline    time.Time
	source      netip.AddrPort
	state       attemptState
	cause       framer.Cause
	parts       int
	ledgerIndex int // index in Runs of the ledger
	startedAt   time.Time
	finishedAt  time.Time
	endedAt     time.Time
	timer       *time.Timer
}

func (s *server) handleRun(p *encapsulator.Packet, from netip.AddrPort) {
	now := time.Now()
	if a := s.attempts[p.AttemptID]; a != nil && p.AttemptID != 0 {
		s.ledger.Duplicates++
		s.replyState(a, p, from)
		return
	}
	a := &attempt{id: p.AttemptID, packet: *p, payload: p.Payload, deadline: p.Deadline, source: from}
	if cause := s.refusalCause(p, now); cause != framer.CauseNone {
		s.storeAttempt(a)
		s.refuseAttempt(a, now, cause)
		return
	}
	s.storeAttempt(a)
	s.latestAttempts[p.CallID] = a
	if s.running < s.slots {
		s.startAttempt(a, now)
		return
	}
	s.queue = append(s.queue, a)
}

// refusalCause returns why new work is refused, or CauseNone.
func (s *server) refusalCause(p *encapsulator.Packet, now time.Time) framer.Cause {
	switch {
	case p.Incarnation != 0 && p.Incarnation != s.incarnation:
		return framer.CauseRestarted
	case !p.Deadline.IsZero() && now.After(p.Deadline):
		return framer.CauseExpired
	case s.draining:
		return framer.CauseDraining
	case s.faults.ShedRate > 0 && s.random.Float64() < s.faults.ShedRate:
		return framer.CauseShed
	case p.Verb == encapsulator.VerbRun && s.running >= s.slots && len(s.queue) >= s.config.maxQueued:
		return framer.CauseShed
	case p.Verb == encapsulator.VerbOpen && len(s.feeds) >= s.maxFeeds:
		return framer.CauseShed
	}
	return framer.CauseNone
}

func (s *server) storeAttempt(a *attempt) {
	if a.id != 0 {
		s.attempts[a.id] = a
	}
}

func (s *server) refuseAttempt(a *attempt, now time.Time, cause framer.Cause) {
	a.state, a.cause, a.endedAt = attemptRefused, cause, now
	s.refuse(&a.packet, a.source, cause)
}

// replyState replies to a duplicate with the state of its attempt.
func (s *server) replyState(a *attempt, p *encapsulator.Packet, from netip.AddrPort) {
	a.setLatestPacket(p, from)
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
		if !s.sendAnswer(a, nil) {
			s.reply(p, from, encapsulator.VerbRunning, nil)
		}
	}
}

func (a *attempt) setLatestPacket(p *encapsulator.Packet, from netip.AddrPort) {
	a.packet, a.source = *p, from
	a.packet.AttemptID = a.id
}

func (s *server) startAttempt(a *attempt, now time.Time) {
	s.running++
	a.state, a.startedAt = attemptRunning, now
	a.ledgerIndex = len(s.ledger.Runs)
	s.ledger.Runs = append(s.ledger.Runs, admin.Run{
		CallID: verifier.FormatCallID(a.packet.CallID), AttemptID: a.id, Caller: a.packet.Caller, Key: verifier.Key(a.payload), StartedAt: now,
	})
	s.countWork(a.packet.Caller.Addr())
	a.timer = time.AfterFunc(s.serviceTime(a.payload, now), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if a.state == attemptRunning {
			s.finishAttempt(a, time.Now())
		}
	})
}

// serviceTime returns the service time that a payload such as "key;work=50ms" sets, or else a random or fixed one.
func (s *server) serviceTime(payload []byte, now time.Time) time.Duration {
	d := s.meanServiceTime
	if given, err := time.ParseDuration(verifier.Option(payload, "work")); err == nil {
		d = given
	} else if !s.fixedServiceTime {
		d = time.Duration(s.random.ExpFloat64() * float64(s.meanServiceTime))
	}
	if left := s.coldStart - now.Sub(s.startedAt); left > 0 {
		d = time.Duration(float64(d) * (1 + (coldFactor-1)*float64(left)/float64(s.coldStart)))
	}
	return d
}

func (s *server) finishAttempt(a *attempt, now time.Time) {
	a.state = attemptFinished
	a.parts = verifier.PartCount(a.packet.CallID, a.payload, s.maxParts)
	s.releaseSlot(a, now)
	s.sendAnswer(a, nil)
}

// releaseSlot frees the slot of a running attempt and starts the next ones in the queue.
func (s *server) releaseSlot(a *attempt, now time.Time) {
	s.running--
	a.finishedAt, a.endedAt = now, now
	s.ledger.Runs[a.ledgerIndex].FinishedAt = now
	s.ledger.BusyTime += admin.Duration(now.Sub(a.startedAt))
	for s.running < s.slots && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if next.expired(now) {
			s.refuseAttempt(next, now, framer.CauseExpired)
			continue
		}
		s.startAttempt(next, now)
	}
}

func (a *attempt) expired(now time.Time) bool { return !a.deadline.IsZero() && now.After(a.deadline) }

// sendAnswer sends the parts of a finished answer that are set in the bitmap missing, or all of them without one. It returns
// false when the answer is no longer kept.
func (s *server) sendAnswer(a *attempt, missing []byte) bool {
	if time.Since(a.finishedAt) > answerRetention {
		return false
	}
	for n := range a.parts {
		if len(missing) > 0 && (n/8 >= len(missing) || missing[n/8]&(1<<(n%8)) == 0) {
			continue
		}
		s.reply(&a.packet, a.source, encapsulator.VerbAnswer, func(r *encapsulator.Packet) {
			r.Seq, r.PartCount, r.Payload = uint64(n), uint32(a.parts), verifier.Part(s.service, r.CallID, n)
		})
	}
	return true
}

// findAttempt returns the attempt with the attempt id of a packet or, without one, the newest attempt of its call.
func (s *server) findAttempt(p *encapsulator.Packet) *attempt {
	if p.AttemptID != 0 {
		return s.attempts[p.AttemptID]
	}
	return s.latestAttempts[p.CallID]
}

// handleFetch replies with the answer or the state of an attempt. For one that never arrived it sends no reply, since it may
// still arrive and run.
func (s *server) handleFetch(p *encapsulator.Packet, from netip.AddrPort) {
	a := s.findAttempt(p)
	if a == nil {
		return
	}
	if a.state != attemptFinished {
		s.replyState(a, p, from)
		return
	}
	a.setLatestPacket(p, from)
	if !s.sendAnswer(a, p.Payload) {
		s.reply(p, from, encapsulator.VerbRunning, nil)
	}
}

// handleCancel cancels an attempt. The reply canceled guarantees that it never begins. An attempt that has not arrived yet is
// stored as canceled, so that it is not run when it arrives later.
func (s *server) handleCancel(p *encapsulator.Packet, from netip.AddrPort) {
	now := time.Now()
	a := s.findAttempt(p)
	if a == nil {
		if p.AttemptID == 0 {
			return
		}
		a = &attempt{id: p.AttemptID, packet: *p, source: from, state: attemptRefused, cause: framer.CauseCanceled, endedAt: now}
		s.storeAttempt(a)
		s.recordCancel(a, now)
		s.reply(p, from, encapsulator.VerbCanceled, nil)
		return
	}
	a.setLatestPacket(p, from)
	switch a.state {
	case attemptQueued:
		s.queue = slices.DeleteFunc(s.queue, func(q *attempt) bool { return q == a })
		a.state, a.cause, a.endedAt = attemptRefused, framer.CauseCanceled, now
		s.recordCancel(a, now)
		s.reply(p, from, encapsulator.VerbCanceled, nil)
	case attemptRunning:
		a.timer.Stop()
		a.state = attemptCanceled
		s.ledger.Runs[a.ledgerIndex].Canceled = true
		s.releaseSlot(a, now)
		s.reply(p, from, encapsulator.VerbRunning, nil)
	default:
		s.replyState(a, p, from)
	}
}

func (s *server) recordCancel(a *attempt, now time.Time) {
	s.ledger.Refusals = append(s.ledger.Refusals, admin.Refusal{
		CallID: verifier.FormatCallID(a.packet.CallID), AttemptID: a.id, Verb: uint8(encapsulator.VerbCancel),
		Cause: uint8(framer.CauseCanceled), At: now,
	})
}

// countWork counts a run or feed for the caller group G of an address, 127.3.G.K.
func (s *server) countWork(caller netip.Addr) {
	if p, err := caller.Unmap().Prefix(24); err == nil {
		s.ledger.WorkByCallerGroup[p.String()]++
	}
}

// removeExpired refuses queued attempts past their deadline, and removes attempts past their retention and idle feeds.
func (s *server) removeExpired(now time.Time) {
	s.queue = slices.DeleteFunc(s.queue, func(a *attempt) bool {
		if a.expired(now) {
			s.refuseAttempt(a, now, framer.CauseExpired)
		}
		return a.state == attemptRefused
	})
	for id, a := range s.attempts {
		if !a.endedAt.IsZero() && now.Sub(a.endedAt) > attemptRetention {
			delete(s.attempts, id)
		}
	}
	for call, a := range s.latestAttempts {
		if !a.endedAt.IsZero() && now.Sub(a.endedAt) > attemptRetention {
			delete(s.latestAttempts, call)
		}
	}
	s.dropIdleFeeds(now)
}
