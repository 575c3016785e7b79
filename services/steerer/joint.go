package steerer

import (
	"net/netip"
	"time"
)

// In a zone of many daemons each one has a flow or two at a backend server, too few to tell a loss from a crash. Daemons tell each
// other of single flows without an answer, and judge by the sum as they would by flows of their own. Whoever gets an answer
// meanwhile says so, and the sum starts anew.
const (
	// doubtLife is how long a repetition counts in the sum: callers repeat after 200 ms and then after gaps of up to 800 ms.
	doubtLife = time.Second
	// doubtsMost bounds the peers whose doubts are kept for a backend server: more than the judgement needs.
	doubtsMost = 8
	// jointFor is how long the sum must stand before flows are reset: time for a doubt and for its contradiction, each of
	// which waits for the next of the looks each 100 ms.
	jointFor = 250 * time.Millisecond
	// contradictedWithin is the age of an own answer that contradicts a doubt at once: the packet that was repeated is older.
	contradictedWithin = repeatSpacing
	// cutOffServers is the number of backend servers above which a daemon that doubts more than half of those it has flows at
	// keeps its doubts to itself: the fault is more likely that of its own links, or of a slow start. It is a panic threshold.
	cutOffServers = 2
)

// doubt is what one peer saw of a backend server.
type doubt struct {
	from               netip.AddrPort
	repeating, stalled int
	at                 time.Time
}

// joint is what the daemons of an availability zone know together of a backend server.
type joint struct {
	doubts  []doubt
	cleared time.Time // when an answer was last heard of; older evidence does not count
	since   time.Time // since when the sum tells that it is silent
	refuted bool      // an answer contradicts a peer's doubt, and peers are to be told
}

// hear takes the doubt of a peer. An answer of the backend server that this daemon has just seen contradicts it.
func (b *server) hear(now time.Time, f *Finding) {
	if now.Sub(b.lastAnswer) < contradictedWithin {
		b.refuted = true
		return
	}
	b.keep(doubt{f.Origin, f.Evidence.RetransmittingFlows, f.Evidence.StalledFlows, now})
	b.jointlySilent(now) // starts the time for contradictions
}

// keep holds the newest doubt of each peer, and of too many peers the newest ones.
func (j *joint) keep(d doubt) {
	oldest := -1
	for i := range j.doubts {
		if j.doubts[i].from == d.from {
			j.doubts[i] = d
			return
		}
		if oldest < 0 || j.doubts[i].at.Before(j.doubts[oldest].at) {
			oldest = i
		}
	}
	if len(j.doubts) < doubtsMost {
		j.doubts = append(j.doubts, d)
	} else {
		j.doubts[oldest] = d
	}
}

// clear drops the evidence of the zone after an answer.
func (j *joint) clear(now time.Time) {
	j.doubts, j.since, j.cleared = j.doubts[:0], time.Time{}, now
}

// answer takes an answer on a flow, which peers that doubt the backend server should know of.
func (b *server) answer(now time.Time, f *flow) {
	b.answered(now, f)
	if len(b.doubts) > 0 {
		b.clear(now)
		b.refuted = true
	}
}

// sum returns the flows that repeat packets at the backend server in the availability zone, and the open ones among them.
func (b *server) sum(now time.Time) (repeating, stalled int) {
	if b.newest.After(b.cleared) && now.Sub(b.newest) <= doubtLife {
		repeating, stalled = b.repeating, b.stalled
	}
	for i := range b.doubts {
		if d := &b.doubts[i]; now.Sub(d.at) <= doubtLife+findingInterval {
			repeating += d.repeating
			stalled += d.stalled
		}
	}
	return repeating, stalled
}

// jointlySuspected reports whether the zone's evidence suffices to give the backend server no new flows.
func (b *server) jointlySuspected(now time.Time) bool {
	if len(b.doubts) == 0 {
		return false
	}
	repeating, _ := b.sum(now)
	return repeating >= suspectFlows
}

// jointlySilent reports whether the zone's evidence suffices to reset the flows of the backend server.
func (b *server) jointlySilent(now time.Time) bool {
	if len(b.doubts) == 0 {
		return false
	}
	if repeating, stalled := b.sum(now); repeating < silentFlows || stalled < stalledFlows {
		b.joint.since = time.Time{}
		return false
	}
	if b.joint.since.IsZero() {
		b.joint.since = now
	}
	return now.Sub(b.joint.since) >= jointFor
}

// cutOff reports whether this daemon doubts so many of its backend servers that the fault is more likely its own.
func (s *Steerer) cutOff(now time.Time) bool {
	used, doubted := 0, 0
	for _, list := range s.services {
		for _, b := range list {
			c := b.condition(now)
			if b.flows > 0 || c != Answering {
				used++
			}
			if c != Answering {
				doubted++
			}
		}
	}
	return doubted > cutOffServers && 2*doubted > used
}
