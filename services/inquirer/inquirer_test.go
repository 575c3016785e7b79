package inquirer_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/services/inquirer"
)

var (
	start = time.Unix(1_800_000_000, 0)
	self  = netip.MustParseAddrPort("10.1.0.1:7400")
	peers = []netip.AddrPort{self, netip.MustParseAddrPort("10.1.0.2:7400"), netip.MustParseAddrPort("10.1.0.3:7400")}
	busy  = inquirer.Activity{1<<64 - 1, 1<<64 - 1, 1<<64 - 1, 1<<64 - 1}
	flow  = inquirer.Flow{Client: netip.MustParseAddrPort("100.64.0.7:40001"), Route: netip.MustParseAddrPort("198.18.0.1:443")}
)

func ExampleInquirer() {
	q := inquirer.New(0)
	q.SetZone(self, &inquirer.Zone{Members: peers})
	q.Start(start, []inquirer.Candidate{{Flow: flow, LastSeen: start.Add(-5 * time.Second), Acknowledgement: 1000}}, busy)
	now := start.Add(time.Millisecond)
	for _, m := range q.TakeQueries(now) {
		// Another daemon remembers the last 15 s and saw the flow 9 s ago.
		q.AddReply(now, m.To, &inquirer.Reply{
			ID: m.Query.ID, Memory: 15 * time.Second, Members: q.Members(),
			Sightings: []inquirer.Sighting{{Seen: true, Idle: 9 * time.Second, Acknowledged: true, Acknowledgement: 900}},
		})
	}
	for _, c := range q.TakeConfirmed() {
		fmt.Println("reset", c.Client, "with", c.Acknowledgement)
	}
	// Output: reset 100.64.0.7:40001 with 1000
}

// TestAnswers guards against a reset of a flow that another daemon may carry.
func TestAnswers(t *testing.T) {
	const idle = 5 * time.Second
	old := inquirer.Sighting{Seen: true, Idle: 9 * time.Second, Acknowledged: true, Acknowledgement: 900}
	for name, c := range map[string]struct {
		answer     func(r *inquirer.Reply)
		confirmed  bool
		newest     uint32
		moved      uint64
		unanswered uint64
		quiet      uint64
	}{
		"not seen since":                   {func(*inquirer.Reply) {}, true, 1000, 0, 0, 0},
		"never seen":                       {func(r *inquirer.Reply) { r.Sightings[0] = inquirer.Sighting{} }, true, 1000, 0, 0, 0},
		"seen since":                       {func(r *inquirer.Reply) { r.Sightings[0].Idle = time.Second }, false, 0, 1, 0, 0},
		"seen as long ago as the answer":   {func(r *inquirer.Reply) { r.Sightings[0].Idle = idle + time.Millisecond }, false, 0, 1, 0, 0},
		"newer acknowledgement before":     {func(r *inquirer.Reply) { r.Sightings[0].Acknowledgement = 1800 }, true, 1800, 0, 0, 0},
		"opening packet only":              {func(r *inquirer.Reply) { r.Sightings[0].Acknowledged, r.Sightings[0].Acknowledgement = false, 1800 }, true, 1000, 0, 0, 0},
		"started since":                    {func(r *inquirer.Reply) { r.Memory, r.Sightings[0] = time.Second, inquirer.Sighting{} }, false, 0, 0, 1, 0},
		"seen since, and started since":    {func(r *inquirer.Reply) { r.Memory, r.Sightings[0].Idle = 2*time.Second, time.Second }, false, 0, 1, 0, 0},
		"knows other daemons":              {func(r *inquirer.Reply) { r.Members++ }, false, 0, 0, 1, 0},
		"answer to another query":          {func(r *inquirer.Reply) { r.ID++ }, false, 0, 0, 1, 0},
		"answer without the flow":          {func(r *inquirer.Reply) { r.Sightings = nil }, false, 0, 0, 1, 0},
		"answer with a flow too many":      {func(r *inquirer.Reply) { r.Sightings = append(r.Sightings, old) }, false, 0, 0, 1, 0},
		"no packet for 0.4 s":              {func(r *inquirer.Reply) { r.Activity[0] <<= 8 }, false, 0, 0, 0, 1},
		"no packet for 0.3 s":              {func(r *inquirer.Reply) { r.Activity[0] <<= 7 }, true, 1000, 0, 0, 0},
		"no packet before the flow":        {func(r *inquirer.Reply) { r.Activity[0] &= 1<<52 - 1 }, true, 1000, 0, 0, 0},
		"acknowledgement that wraps round": {func(r *inquirer.Reply) { r.Sightings[0].Acknowledgement = 1<<32 - 5 }, true, 1000, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			q := inquirer.New(7)
			q.SetZone(self, &inquirer.Zone{Members: peers})
			q.Start(start, []inquirer.Candidate{{Flow: flow, LastSeen: start.Add(-idle), Acknowledgement: 1000}}, inquirer.Activity{})
			now := start.Add(time.Millisecond)
			queries := q.TakeQueries(now)
			g.Expect(queries).To(HaveLen(2), "both other daemons")
			for i, m := range queries {
				r := inquirer.Reply{ID: m.Query.ID, Memory: 15 * time.Second, Members: q.Members(), Sightings: []inquirer.Sighting{old}}
				r.Activity[0] = 1<<20 - 1
				if i == 1 {
					r.Activity[0] = busy[0] << 16
					c.answer(&r)
				}
				q.AddReply(now, m.To, &r)
				if i == 0 {
					g.Expect(q.AddReply(now, m.To, &r)).To(BeFalse(), "a repeated answer is not that of the other daemon")
					g.Expect(q.TakeConfirmed()).To(BeEmpty(), "one answer is missing")
				}
			}
			confirmed := q.TakeConfirmed()
			q.TakeQueries(now.Add(time.Second))
			g.Expect(q.Counts().Moved).To(Equal(c.moved))
			g.Expect(q.Counts().Unanswered).To(Equal(c.unanswered))
			g.Expect(q.Counts().Quiet).To(Equal(c.quiet))
			if !c.confirmed {
				g.Expect(confirmed).To(BeEmpty())
				return
			}
			g.Expect(confirmed).To(HaveLen(1))
			g.Expect(confirmed[0].Acknowledgement).To(Equal(c.newest))
		})
	}
}

// TestActivityLog guards against packets that count at another time than that of their arrival.
func TestActivityLog(t *testing.T) {
	g := NewWithT(t)
	var l inquirer.ActivityLog
	g.Expect(l.At(start)).To(Equal(inquirer.Activity{}))
	for _, at := range []time.Duration{0, 50, 100, 6400, 12_950} { // in ms
		l.Record(start.Add(at * time.Millisecond))
	}
	g.Expect(l.At(start.Add(12_950 * time.Millisecond))).To(Equal(inquirer.Activity{1, 1 << 1, 1<<0 | 1<<1}))
	g.Expect(l.At(start.Add(13 * time.Second))).To(Equal(inquirer.Activity{1 << 1, 1 << 2, 1<<1 | 1<<2}))
	g.Expect(l.At(start.Add(25 * time.Second))).To(Equal(inquirer.Activity{0, 1 << 57, 1 << 58, 1<<57 | 1<<58}))
	g.Expect(l.At(start.Add(40 * time.Second))).To(Equal(inquirer.Activity{}))
}

// TestResend guards against inquiries that one lost message ends, and against answers that arrive too late.
func TestResend(t *testing.T) {
	g := NewWithT(t)
	q := inquirer.New(7)
	q.SetZone(self, &inquirer.Zone{Members: peers})
	q.Start(start, []inquirer.Candidate{{Flow: flow, LastSeen: start.Add(-time.Second)}}, busy)
	reply := inquirer.Reply{ID: 8, Memory: time.Minute, Members: q.Members(), Sightings: make([]inquirer.Sighting, 1)}
	g.Expect(q.TakeQueries(start)).To(HaveLen(2))
	g.Expect(q.AddReply(start, peers[1], &reply)).To(BeFalse())
	at, ok := q.NextAt()
	g.Expect(ok).To(BeTrue())
	g.Expect(at).To(Equal(start.Add(10 * time.Millisecond)))
	g.Expect(q.TakeQueries(at.Add(-1))).To(BeEmpty())
	for _, pause := range []time.Duration{20, 40, 80} {
		again := q.TakeQueries(at)
		g.Expect(again).To(HaveLen(1))
		g.Expect(again[0].To).To(Equal(peers[2]))
		at = at.Add(pause * time.Millisecond)
		next, _ := q.NextAt()
		g.Expect(next).To(Equal(at))
	}
	reply.Sightings[0] = inquirer.Sighting{Seen: true}
	g.Expect(q.AddReply(start.Add(300*time.Millisecond), peers[2], &reply)).To(BeFalse())
	g.Expect(q.TakeQueries(start.Add(300 * time.Millisecond))).To(BeEmpty())
	_, ok = q.NextAt()
	g.Expect(ok).To(BeFalse())
}

// TestFailedDaemons guards against a reset of a flow that a daemon may have carried which has failed since, and against failed daemons that keep
// all flows of lost backend servers from being reset.
func TestFailedDaemons(t *testing.T) {
	for name, c := range map[string]struct {
		takeover  time.Duration // end of the announced time, relative to the newest packet here
		answering int
		lost      bool // the failure has been detected
		dispute   bool
		paused    time.Duration // until the end of the inquiry is noticed
		confirmed bool
	}{
		"no takeover":                      {takeover: -time.Hour, answering: 2, confirmed: true},
		"takeover before":                  {takeover: -time.Millisecond, answering: 2, confirmed: true},
		"takeover since":                   {takeover: time.Millisecond, answering: 2},
		"no takeover, failure detected":    {takeover: -time.Hour, answering: 2, lost: true, confirmed: true},
		"takeover since, failure detected": {takeover: time.Millisecond, answering: 2, lost: true},
		"fewer than half answer":           {takeover: -time.Hour, answering: 1},
		"another view of the zone":         {takeover: -time.Hour, answering: 2, dispute: true},
		"old answers":                      {takeover: -time.Hour, answering: 2, paused: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			q := inquirer.New(7)
			failed := netip.MustParseAddrPort("10.1.0.4:7400")
			members := append(slices.Clone(peers), failed)
			q.SetZone(self, &inquirer.Zone{Members: members})
			q.AddTakeover(failed, start.Add(c.takeover))
			if c.lost {
				q.SetZone(self, &inquirer.Zone{Members: peers, Lost: []netip.AddrPort{failed}})
			}
			now := start.Add(5 * time.Second)
			q.Start(now, []inquirer.Candidate{{Flow: flow, LastSeen: start}}, busy)
			for _, m := range q.TakeQueries(now)[:2] {
				if c.answering--; c.answering < 0 {
					break
				}
				r := inquirer.Reply{ID: m.Query.ID, Memory: time.Minute, Members: q.Members(), Sightings: make([]inquirer.Sighting, 1)}
				if c.dispute {
					r.Members++
				}
				q.AddReply(now, m.To, &r)
			}
			q.TakeQueries(now.Add(300*time.Millisecond + c.paused))
			if c.confirmed {
				g.Expect(q.TakeConfirmed()).To(HaveLen(1))
			} else {
				g.Expect(q.TakeConfirmed()).To(BeEmpty())
				g.Expect(q.Counts()).To(Equal(inquirer.Counts{Unanswered: 1}))
			}
		})
	}
}

// TestMembers guards against resets that rest on the answers of daemons that are not all, and against ones without any that a daemon alone in
// its zone could carry out.
func TestMembers(t *testing.T) {
	g := NewWithT(t)
	candidates := make([]inquirer.Candidate, 100)
	for i := range candidates {
		candidates[i] = inquirer.Candidate{Flow: inquirer.Flow{Client: netip.AddrPortFrom(flow.Client.Addr(), uint16(i+1)), Route: flow.Route}, LastSeen: start}
	}
	alone := inquirer.New(0)
	alone.SetZone(self, &inquirer.Zone{Members: peers[:1]})
	alone.Start(start, candidates, busy)
	g.Expect(alone.TakeConfirmed()).To(HaveLen(100))

	q := inquirer.New(0)
	q.SetZone(self, &inquirer.Zone{Members: peers, Legacy: true})
	q.Start(start, candidates, busy)
	g.Expect(q.TakeQueries(start)).To(BeEmpty(), "a daemon of an earlier version may carry the flows and does not answer")
	q.SetZone(self, &inquirer.Zone{Members: peers})
	q.Start(start, candidates, busy)
	g.Expect(q.TakeQueries(start)).To(HaveLen(2*5), "24 flows a query")
	q.SetZone(self, &inquirer.Zone{Members: []netip.AddrPort{peers[2], peers[1]}})
	g.Expect(q.TakeQueries(start.Add(100*time.Millisecond))).To(HaveLen(2*5), "the same daemons in another order")
	q.SetZone(self, &inquirer.Zone{Members: peers[:2]})
	g.Expect(q.TakeQueries(start.Add(200 * time.Millisecond))).To(BeEmpty())
	g.Expect(q.Counts()).To(Equal(inquirer.Counts{Unanswered: 200}))
}
