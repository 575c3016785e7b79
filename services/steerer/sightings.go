package steerer

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/editor"
	"github.com/bluebelldyke/bluebelldyke/services/inquirer"
)

// sighting is the newest packet of a flow that is not tracked any more.
type sighting struct {
	at              time.Time
	acknowledged    bool
	acknowledgement uint32
}

// sightings is what a daemon must remember to answer the queries of others.
type sightings struct {
	// forgotten holds the flows that have been seen within the idle timeout and are not tracked.
	forgotten map[flowKey]sighting
	// since is the time from which on all flows are remembered.
	since time.Time
	// activity records when packets have arrived.
	activity inquirer.ActivityLog
}

// sighting returns what is known of the newest packet of a flow.
func (f *flow) sighting() sighting {
	return sighting{at: f.lastSeen, acknowledged: !f.handshaking, acknowledgement: f.lastAck}
}

// remember records the newest packet of a flow that is no longer tracked.
func (r *sightings) remember(key flowKey, f *flow) {
	if len(r.forgotten) >= maxTrackedFlows {
		r.lose(f.lastSeen)
		return
	}
	if r.forgotten == nil {
		r.forgotten = map[flowKey]sighting{}
	}
	r.forgotten[key] = f.sighting()
}

// lose records that a packet of the time at is not remembered.
func (r *sightings) lose(at time.Time) {
	if !at.Before(r.since) {
		r.since = at.Add(1)
	}
}

// sweep forgets the flows that have been idle for the idle timeout.
func (r *sightings) sweep(now time.Time, idleTimeout time.Duration) {
	for key, seen := range r.forgotten {
		if now.Sub(seen.at) > idleTimeout {
			delete(r.forgotten, key)
			r.lose(seen.at)
		}
	}
}

// SetForwarders sets the daemons of the availability zone to which the fabric may send packets of this daemon's flows.
func (s *Steerer) SetForwarders(self netip.AddrPort, z *inquirer.Zone) { s.inquirer.SetZone(self, z) }

// TakeQueries returns the queries about idle flows that are to be sent to other daemons now.
func (s *Steerer) TakeQueries(now time.Time) []inquirer.Message { return s.inquirer.TakeQueries(now) }

// NextQueryAt returns when TakeQueries should be called next, false if this daemon asks about no flow.
func (s *Steerer) NextQueryAt() (time.Time, bool) { return s.inquirer.NextAt() }

// AddReply adds the answer of another daemon. It reports whether TakeLostFlows should be called soon.
func (s *Steerer) AddReply(now time.Time, from netip.AddrPort, r *inquirer.Reply) bool {
	return s.inquirer.AddReply(now, from, r)
}

// Inquiries counts the idle flows about which this daemon has asked the others.
func (s *Steerer) Inquiries() inquirer.Counts { return s.inquirer.Counts() }

// AnswerQuery answers the query of another daemon.
func (s *Steerer) AnswerQuery(now time.Time, q *inquirer.Query) inquirer.Reply {
	r := inquirer.Reply{ID: q.ID, Members: s.inquirer.Members(), Activity: s.sightings.activity.At(now), Sightings: make([]inquirer.Sighting, len(q.Flows))}
	if s.configured {
		r.Memory = max(now.Sub(s.sightings.since), 0)
	}
	for i, f := range q.Flows {
		key := flowKey{f.Client, f.Route}
		seen, ok := s.sightings.forgotten[key]
		if tracked := s.flows[key]; tracked != nil {
			seen, ok = tracked.sighting(), true
		}
		if ok {
			r.Sightings[i] = inquirer.Sighting{Seen: true, Idle: max(now.Sub(seen.at), 0), Acknowledged: seen.acknowledged, Acknowledgement: seen.acknowledgement}
		}
	}
	return r
}

// startInquiry asks about the idle flows of backend servers that have just been lost.
func (s *Steerer) startInquiry(now time.Time, lost map[*backendServer]bool) {
	var candidates []inquirer.Candidate
	for key, f := range s.flows {
		switch {
		case !lost[f.server]:
			continue
		case f.finSeen, f.handshaking, f.lastSeen.Before(s.handover.until):
			s.forgetFlow(key)
			continue
		}
		s.dropHeld(f)
		f.setCountedOpen(false)
		candidates = append(candidates, inquirer.Candidate{Flow: inquirer.Flow{Client: key.caller, Route: key.destination}, LastSeen: f.lastSeen, Acknowledgement: f.lastAck})
	}
	s.inquirer.Start(now, candidates, s.sightings.activity.At(now))
}

// takeConfirmed returns the flows that are to be reset according to the other daemons, and stops tracking them. Flows with a packet since the
// inquiry, and those of backend servers that answer again, are left out.
func (s *Steerer) takeConfirmed(now time.Time) []LostFlow {
	var list []LostFlow
	for _, c := range s.inquirer.TakeConfirmed() {
		key := flowKey{c.Client, c.Route}
		f := s.flows[key]
		if f == nil || !f.lastSeen.Equal(c.LastSeen) || f.lastSeen.Before(s.handover.until) || f.server.lossCause(now) == CauseNone {
			continue
		}
		list = append(list, LostFlow{
			Packet: editor.Packet{Source: key.caller, Destination: key.destination, AckNumber: c.Acknowledgement}, Server: f.server.ID, Age: now.Sub(f.firstSeen),
		})
		s.forgetFlow(key)
	}
	return list
}
