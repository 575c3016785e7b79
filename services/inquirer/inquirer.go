// Package inquirer decides whether a daemon may reset a flow without a packet of it. The fabric may have handed the flow to another daemon
// since, without a sign of that here: a reset with the acknowledgement of then would be outside of the client's window. The daemon therefore
// asks all daemons of its availability zone when they last saw the flow. It resets the flow only if each of them answers that it has not seen
// the flow since, and none of them has forgotten flows that it saw in that time. Daemons of other zones get packets of the zone's flows only
// while the fabric uses none of the zone's daemons, so there must have been no time without any packet in the zone either.
//
// A daemon that has failed does not answer. It has not carried the flow if it announced no takeovers since the flow was last seen here: a daemon
// announces when it gets packets of flows whose earlier packets it has not seen. What this leaves open is a daemon that reaches none of its peers while
// the fabric goes on sending to it.
//
// Why such a reset is valid: a backend server sends at most 16 packets, 19,200 bytes, beyond the newest acknowledgement that has reached it,
// and an acknowledgement reaches it only through one of the daemons. The newest one that they have forwarded is thus at most that far behind
// that of the client, a quarter of the window of 76,800 bytes. No rate of the flow and no time enters into it.
//
// The package uses no sockets, goroutines or clock. An Inquirer is not safe for concurrent use.
package inquirer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/ranker"
)

const (
	// lifetime is how long the daemons have time to answer. Within it an answer holds: flows of a backend server that sends nothing do not
	// advance.
	lifetime = 300 * time.Millisecond
	// resendInterval is the time after which the daemons that have not answered are asked again. It doubles each time.
	resendInterval = 10 * time.Millisecond
	// MaxFlows is the number of flows of a query, which then fits into a datagram.
	MaxFlows = 24
	// maxInquiries bounds the inquiries under way.
	maxInquiries = 128
)

// Flow identifies a flow by the addresses of its client and of the route.
type Flow struct{ Client, Route netip.AddrPort }

// Sighting is what a daemon knows of a flow.
type Sighting struct {
	// Seen is set if the daemon remembers a packet of the flow. Idle is the time since the newest one.
	Seen bool
	Idle time.Duration
	// Acknowledged is set if the daemon has seen an acknowledgement of the client. Acknowledgement is the newest one.
	Acknowledged    bool
	Acknowledgement uint32
}

// Query asks a daemon for its sightings of flows.
type Query struct {
	ID    uint64
	Flows []Flow
}

// Reply is the answer to a query.
type Reply struct {
	ID uint64
	// Memory is the time for which the daemon remembers each packet that it has forwarded.
	Memory time.Duration
	// Members is the digest of the daemons of the zone that the daemon knows.
	Members uint64
	// Activity is when packets have arrived at the daemon.
	Activity Activity
	// Sightings are those of the flows of the query, in its order.
	Sightings []Sighting
}

// Zone is what a daemon knows about the daemons of its availability zone.
type Zone struct {
	// Members are the addresses of all daemons to which the fabric may send packets of the zone's flows, with that of this daemon.
	Members []netip.AddrPort
	// Lost are those that have failed within the lifetime of a flow.
	Lost []netip.AddrPort
	// Legacy is set if one of the members is of a version that does not answer queries. No flow is reset without a packet then.
	Legacy bool
}

// Message is a query to a daemon.
type Message struct {
	To    netip.AddrPort
	Query Query
}

// Candidate is a flow to be reset, with what the own daemon knows of it.
type Candidate struct {
	Flow
	LastSeen        time.Time
	Acknowledgement uint32
}

// Counts counts the candidates by what became of them.
type Counts struct {
	Confirmed  uint64 // to be reset
	Moved      uint64 // seen by another daemon since, which resets them
	Unanswered uint64 // left alone, because a daemon that may carry them did not answer, has forgotten flows, or knows other daemons
	Quiet      uint64 // left alone, because no packet reached the zone for some time
}

// inquiry is a query to all daemons of the zone.
type inquiry struct {
	query      Query
	candidates []Candidate // those of the query; Flow is the zero value once the flow must not be reset
	missing    []netip.AddrPort
	activity   Activity // of all daemons that have answered, and of this one
	disputed   bool     // a daemon knows other daemons of the zone, according to its answer to the newest query
	startedAt  time.Time
	nextAt     time.Time     // when the missing daemons are asked next
	interval   time.Duration // from then to the time after
}

// Inquirer asks about the flows that one daemon wants to reset.
type Inquirer struct {
	listed    []netip.AddrPort // the daemons of the zone as they were set
	members   []netip.AddrPort // the others among them
	lost      []netip.AddrPort // those that have failed lately
	legacy    bool             // one of the others does not answer queries
	digest    uint64
	takeovers map[netip.AddrPort]time.Time // until when a daemon may take flows over, as it has announced
	only      bool                         // there is no other daemon in any zone
	lastID    uint64
	inquiries []*inquiry
	confirmed []Candidate
	counts    Counts
}

// New returns an Inquirer of the only daemon, as long as SetZone is not called: it asks nobody. The ids of its queries follow lastID, which
// should be random: an answer to an earlier process at the same address must not match.
func New(lastID uint64) *Inquirer {
	return &Inquirer{lastID: lastID, only: true, takeovers: map[netip.AddrPort]time.Time{}}
}

// digestOf returns the digest of a set of daemons, whatever their order.
func digestOf(members []netip.AddrPort) uint64 {
	var digest uint64
	for _, m := range members {
		digest ^= ranker.Mix(ranker.Hash(m))
	}
	return digest
}

// SetZone sets the daemons of the zone. A change of the members or of the lost ones ends all inquiries.
func (q *Inquirer) SetZone(self netip.AddrPort, z *Zone) {
	q.only, q.legacy = false, z.Legacy
	if slices.Equal(z.Members, q.listed) && slices.Equal(z.Lost, q.lost) {
		return
	}
	q.listed = slices.Clone(z.Members)
	others := slices.DeleteFunc(slices.Clone(z.Members), func(m netip.AddrPort) bool { return m == self })
	digest := digestOf(others) ^ digestOf([]netip.AddrPort{self})
	if digest == q.digest && slices.Equal(z.Lost, q.lost) { // another order
		return
	}
	q.members, q.lost, q.digest = others, slices.Clone(z.Lost), digest
	for _, i := range q.inquiries {
		q.abandon(i)
	}
	q.inquiries = nil
	for m := range q.takeovers {
		if !slices.Contains(others, m) && !slices.Contains(z.Lost, m) {
			delete(q.takeovers, m)
		}
	}
}

// AddTakeover records that a daemon may take flows over until a time.
func (q *Inquirer) AddTakeover(from netip.AddrPort, until time.Time) {
	if slices.Contains(q.members, from) && until.After(q.takeovers[from]) {
		q.takeovers[from] = until
	}
}

// Members returns the digest of the daemons of the zone, for replies.
func (q *Inquirer) Members() uint64 { return q.digest }

// Counts returns what became of the candidates.
func (q *Inquirer) Counts() Counts { return q.counts }

// Start asks about flows. The activity is that of this daemon.
func (q *Inquirer) Start(now time.Time, candidates []Candidate, own Activity) {
	switch {
	case q.only:
		q.confirm(candidates)
		return
	case q.legacy:
		q.counts.Unanswered += uint64(len(candidates))
		return
	case len(q.members) == 0:
		q.conclude(now, &inquiry{candidates: slices.Clone(candidates), activity: own})
		return
	}
	for part := range slices.Chunk(candidates, MaxFlows) {
		if len(q.inquiries) >= maxInquiries {
			q.counts.Unanswered += uint64(len(part))
			continue
		}
		q.lastID++
		i := &inquiry{query: Query{ID: q.lastID}, candidates: slices.Clone(part), missing: slices.Clone(q.members), activity: own, startedAt: now, nextAt: now, interval: resendInterval}
		for _, c := range part {
			i.query.Flows = append(i.query.Flows, c.Flow)
		}
		q.inquiries = append(q.inquiries, i)
	}
}

// conclude confirms the flows of an inquiry that all daemons but the missing ones have answered.
func (q *Inquirer) conclude(now time.Time, i *inquiry) {
	if 2*len(i.missing) > len(q.members) { // this daemon seems to be cut off
		q.abandon(i)
		return
	}
	silent := slices.Concat(i.missing, q.lost)
	for _, c := range i.candidates {
		switch {
		case c.Flow == (Flow{}):
		case slices.ContainsFunc(silent, func(m netip.AddrPort) bool { return !q.takeovers[m].Before(c.LastSeen) }):
			q.counts.Unanswered++
		case i.activity.hasGap(now.Sub(c.LastSeen)):
			q.counts.Quiet++
		default:
			q.confirm([]Candidate{c})
		}
	}
}

func (q *Inquirer) confirm(candidates []Candidate) {
	q.counts.Confirmed += uint64(len(candidates))
	q.confirmed = append(q.confirmed, candidates...)
}

// abandon counts the flows of an inquiry that ends without an answer.
func (q *Inquirer) abandon(i *inquiry) {
	for _, c := range i.candidates {
		if c.Flow != (Flow{}) {
			q.counts.Unanswered++
		}
	}
}

// TakeQueries returns the queries to send now, and ends the inquiries that not all daemons have answered in time.
func (q *Inquirer) TakeQueries(now time.Time) []Message {
	var ended []*inquiry
	q.inquiries = slices.DeleteFunc(q.inquiries, func(i *inquiry) bool {
		if now.Sub(i.startedAt) < lifetime {
			return false
		}
		ended = append(ended, i)
		return true
	})
	for _, i := range ended {
		if now.Sub(i.startedAt) < 2*lifetime && !i.disputed {
			q.conclude(now, i)
		} else { // this daemon was paused, and the answers are old
			q.abandon(i)
		}
	}
	var list []Message
	for _, i := range q.inquiries {
		if now.Before(i.nextAt) {
			continue
		}
		i.nextAt, i.interval, i.disputed = now.Add(i.interval), 2*i.interval, false
		for _, m := range i.missing {
			list = append(list, Message{To: m, Query: i.query})
		}
	}
	return list
}

// NextAt returns when TakeQueries should be called next, false if no inquiry is under way.
func (q *Inquirer) NextAt() (at time.Time, ok bool) {
	for _, i := range q.inquiries {
		next := i.startedAt.Add(lifetime)
		if i.nextAt.Before(next) {
			next = i.nextAt
		}
		if !ok || next.Before(at) {
			at, ok = next, true
		}
	}
	return at, ok
}

// AddReply adds the answer of a daemon, and reports whether it is the last one of an inquiry.
func (q *Inquirer) AddReply(now time.Time, from netip.AddrPort, r *Reply) bool {
	at := slices.IndexFunc(q.inquiries, func(i *inquiry) bool { return i.query.ID == r.ID })
	if at < 0 {
		return false
	}
	i := q.inquiries[at]
	member := slices.Index(i.missing, from)
	if member < 0 || now.Sub(i.startedAt) >= lifetime || len(r.Sightings) != len(i.candidates) {
		return false
	}
	if r.Members != q.digest {
		i.disputed = true // until the daemon is asked again
		return false
	}
	i.missing = slices.Delete(i.missing, member, member+1)
	i.activity.merge(r.Activity)
	for n := range i.candidates {
		q.apply(now, &i.candidates[n], r.Memory, &r.Sightings[n])
	}
	if len(i.missing) > 0 {
		return false
	}
	q.inquiries = slices.Delete(q.inquiries, at, at+1)
	q.conclude(now, i)
	return true
}

// apply takes the candidate out of its inquiry unless the daemon has not seen the flow since. The sighting is at most as recent as if it were
// of now, because the reply took some time.
func (q *Inquirer) apply(now time.Time, c *Candidate, memory time.Duration, s *Sighting) {
	idle := now.Sub(c.LastSeen)
	switch {
	case c.Flow == (Flow{}):
	case s.Seen && s.Idle <= idle:
		q.counts.Moved++
		c.Flow = Flow{}
	case memory < idle:
		q.counts.Unanswered++
		c.Flow = Flow{}
	case s.Seen && s.Acknowledged && int32(s.Acknowledgement-c.Acknowledgement) > 0:
		// A packet waited here while a newer one of the flow passed through the other daemon.
		c.Acknowledgement = s.Acknowledgement
	}
}

// TakeConfirmed returns the flows to be reset, with the newest acknowledgement that any daemon has seen.
func (q *Inquirer) TakeConfirmed() []Candidate {
	list := q.confirmed
	q.confirmed = nil
	return list
}
