package steerer_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// TestSilent guards against flows that wait for their deadline at a dead backend server, and against new flows there.
func TestSilent(t *testing.T) {
	g := NewWithT(t)
	d := newDaemon(1, toOvens, zone(3, 1, "ovenwatch", "souillac")...)
	tag := d.silence(1)
	p, _ := d.established()
	p.Tag, p.Source = tag, d.caller().Source
	g.Expect(d.Steer(d.now, p)).To(HaveField("Cause", steerer.BackendServerSilent))
	g.Expect(d.TakeFindings(d.now)).To(ContainElement(steerer.Finding{
		Server: 1, Incarnation: 1, Condition: steerer.Silent, Evidence: steerer.Evidence{Repeating: 3, Stalled: 3, For: 400 * time.Millisecond},
	}))
	g.Expect(d.placedAt(1, 30)).To(BeZero())
	d.wait(time.Second)
	g.Expect(len(d.TakeResets(d.now))).To(BeNumerically(">=", 3))
	g.Expect(d.TakeResets(d.now)).To(BeEmpty(), "once")
	d.wait(2 * time.Second)
	trials := 0
	for range 30 {
		if p := d.caller(); d.Steer(d.now, p).Server == 1 { // nothing follows
			trials++
		}
	}
	g.Expect(trials).To(Equal(1))
	d.wait(5 * time.Second)
	g.Expect(d.placedAt(1, 30)).To(BeNumerically(">", 5), "the next trial is answered")
}

// TestPeerFinding guards against callers that wait although a peer knows that their backend server is silent, and
// against resets by hearsay alone: the peer may be the one that is cut off.
func TestPeerFinding(t *testing.T) {
	g := NewWithT(t)
	d := newDaemon(1, toOvens, zone(2, 1, "ovenwatch", "souillac")...)
	var p *editor.Packet
	for p == nil {
		if q, opened := d.established(); opened.Server == 1 {
			p = q
		}
	}
	silent := steerer.Finding{Server: 1, Incarnation: 1, Condition: steerer.Silent}
	g.Expect(d.AddFinding(d.now, silent)).To(BeTrue())
	g.Expect(d.AddFinding(d.now, silent)).To(BeFalse(), "a repetition is worth no line")
	g.Expect(d.placedAt(1, 10)).To(BeZero())
	g.Expect(d.Steer(d.now, p).Action).To(Equal(steerer.Forward))
	d.wait(200 * time.Millisecond)
	g.Expect(d.Steer(d.now, p)).To(And(HaveField("Cause", steerer.BackendServerSilent), HaveField("Age", 200*time.Millisecond)))

	d.AddFinding(d.now, steerer.Finding{Server: 2, Incarnation: 9, Condition: steerer.Silent})
	g.Expect(d.placedAt(2, 10)).To(Equal(10), "a finding about another process")
	d.wait(3 * time.Second)
	g.Expect(d.placedAt(1, 20)).To(BeNumerically(">", 0), "the finding has expired")
}

// TestCrashed guards against retries that go to the crashed backend server again: it resets its callers itself, so that
// only the missing answer shows it, and it has the fewest flows (isbc-grid trouble-3: 834 tries cut).
func TestCrashed(t *testing.T) {
	g := NewWithT(t)
	d := newDaemon(1, toOvens, zone(4, 1, "ovenwatch", "souillac")...)
	for range 40 {
		d.placedAt(0, 1)
	}
	wasted := 0
	for range 200 {
		p := d.caller()
		opened := d.Steer(d.now, p)
		if opened.Server == 1 {
			wasted++
		} else {
			p.Flags, p.Tag, p.AckNumber = editor.Flags{ACK: true}, opened.Tag, 5000
			d.Steer(d.now, p)
		}
		d.wait(4 * time.Millisecond)
	}
	g.Expect(wasted).To(BeNumerically("<=", 5), "of 200 new flows in 0.8 s")
}

// TestCopies guards against two answers to one opening packet when its copies were only held up on the way, and against
// copies that go to the same dead backend server.
func TestCopies(t *testing.T) {
	g := NewWithT(t)
	d := newDaemon(1, toOvens, zone(2, 1, "ovenwatch", "souillac")...)
	p := d.caller()
	first := d.Steer(d.now, p)
	p.AckNumber = 1
	d.wait(20 * time.Millisecond)
	g.Expect(d.Steer(d.now, p)).To(And(HaveField("Cause", steerer.Copied), HaveField("Server", first.Server)))
	d.wait(200 * time.Millisecond)
	g.Expect(d.Steer(d.now, p)).To(And(HaveField("Cause", steerer.Moved), HaveField("Server", Not(Equal(first.Server)))))
}

// TestPaused guards against resets by a daemon that was paused: the packets that waited in its socket seem repeated, and
// the answers to them are behind them.
func TestPaused(t *testing.T) {
	g := NewWithT(t)
	d := newDaemon(1, toOvens, backend(1, "ovenwatch", "souillac"))
	var flows []*editor.Packet
	for range 10 {
		p, _ := d.established()
		d.Steer(d.now, p)
		flows = append(flows, p)
	}
	d.wait(4 * time.Second)
	for range 3 {
		for _, p := range flows {
			g.Expect(d.Steer(d.now, p).Action).To(Equal(steerer.Forward))
			d.wait(50 * time.Microsecond)
		}
	}
	for _, p := range flows {
		p.AckNumber += 1200
		p.DataLength = 0
		g.Expect(d.Steer(d.now, p).Action).To(Equal(steerer.Forward))
	}
	g.Expect(d.TakeResets(d.now)).To(BeEmpty())
}

// TestLiveIsNeverReset guards against the reset of a flow whose backend server answers, however slowly, at any loss and
// load: callers repeat after 200, 400 and 800 ms what is not acknowledged.
func TestLiveIsNeverReset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		work := time.Duration(rapid.IntRange(5, 120).Draw(t, "work-ms")) * time.Millisecond
		count := rapid.IntRange(3, 10).Draw(t, "flows")
		d := newDaemon(rapid.Uint64().Draw(t, "seed"), toOvens, backend(1, "ovenwatch", "souillac"))
		type state struct {
			p     *editor.Packet
			next  time.Time // next repetition
			gap   time.Duration
			done  time.Time // when the answer is acknowledged
			ended bool
		}
		free := [2]time.Time{start, start}
		serve := func(s *state) {
			slot := 0
			if free[1].Before(free[0]) {
				slot = 1
			}
			if free[slot].Before(d.now) {
				free[slot] = d.now
			}
			free[slot] = free[slot].Add(work)
			s.done, s.gap, s.next, s.ended = free[slot], 200*time.Millisecond, d.now.Add(200*time.Millisecond), false
		}
		var flows []*state
		for range count {
			p, _ := d.established()
			s := &state{p: p}
			flows = append(flows, s)
			serve(s)
			d.Steer(d.now, p)
		}
		for end := d.now.Add(5 * time.Second); d.now.Before(end); d.wait(time.Millisecond) {
			for _, s := range flows {
				if !s.ended && !d.now.Before(s.done) {
					s.p.AckNumber += 1200
					s.p.SequenceNumber += 200
					s.ended = true
					serve(s) // the acknowledgement carries the next request
					if got := d.Steer(d.now, s.p); got.Action == steerer.Reset {
						t.Fatalf("reset after %s: %s", d.now.Sub(start), got.Cause)
					}
				}
				if !d.now.Before(s.next) {
					s.gap *= 2
					s.next = d.now.Add(s.gap)
					if got := d.Steer(d.now, s.p); got.Action == steerer.Reset {
						t.Fatalf("reset after %s: %s", d.now.Sub(start), got.Cause)
					}
				}
			}
			if r := d.TakeResets(d.now); len(r) > 0 {
				t.Fatalf("%d resets after %s", len(r), d.now.Sub(start))
			}
		}
	})
}

// TestAllSuspected guards against a daemon whose own link fails and that rejects everybody: when all are suspected, the
// work is spread as before.
func TestAllSuspected(t *testing.T) {
	g := NewWithT(t)
	d := newDaemon(1, toOvens, zone(3, 1, "ovenwatch", "souillac")...)
	for id := range directory.ServerID(3) {
		d.AddFinding(d.now, steerer.Finding{Server: id + 1, Incarnation: 1, Condition: steerer.Suspected})
	}
	for id := range directory.ServerID(3) {
		g.Expect(d.placedAt(id+1, 9)).To(BeNumerically(">", 0))
	}
}

// TestFull guards against the reset of flows at a backend server that holds as many flows as it can: it answers its open flows and
// no opening packet (a deployment with 40 flows a backend server: 688 open flows reset on a calm day).
func TestFull(t *testing.T) {
	g := NewWithT(t)
	d := newDaemon(1, toOvens, backend(1, "ovenwatch", "souillac"))
	var flows []*editor.Packet
	for range 10 {
		p, _ := d.established()
		flows = append(flows, p)
	}
	for step := range 40 {
		refused := d.caller()
		g.Expect(d.Steer(d.now, refused).Action).To(Equal(steerer.Forward))
		d.wait(100 * time.Millisecond)
		g.Expect(d.TakeResets(d.now)).To(BeEmpty())
		if step%10 != 0 {
			continue
		}
		p := flows[step/10]
		for range 2 { // the first copy is lost
			g.Expect(d.Steer(d.now, p).Action).To(Equal(steerer.Forward))
			d.wait(200 * time.Millisecond)
		}
		p.AckNumber += 1200
		g.Expect(d.Steer(d.now, p).Action).To(Equal(steerer.Forward))
	}
	for _, f := range d.TakeFindings(d.now) {
		g.Expect(f.Condition).To(Equal(steerer.Suspected), "no new flows, but a sign of life")
	}
}

// TestFarCallers guards against resets and suspicion when callers are so far away that each request is repeated once before its
// answer arrives, and the answer is acknowledged with the next request only (trial with 90 ms between callers and the
// fabric: 679 open flows reset on a calm day).
func TestFarCallers(t *testing.T) {
	g := NewWithT(t)
	d := newDaemon(1, toOvens, zone(2, 1, "ovenwatch", "souillac")...)
	handshake := 185 * time.Millisecond
	var flows []*editor.Packet
	for range 8 {
		p := d.caller()
		opened := d.Steer(d.now, p)
		d.wait(handshake)
		p.Flags, p.Tag, p.AckNumber = editor.Flags{ACK: true}, opened.Tag, 5000
		d.Steer(d.now, p)
		p.SequenceNumber, p.DataLength = 1001, 200
		flows = append(flows, p)
	}
	for range 10 {
		for range 2 { // the request and its repetition
			for _, p := range flows {
				g.Expect(d.Steer(d.now, p).Action).To(Equal(steerer.Forward))
				d.wait(time.Millisecond)
			}
			d.wait(192 * time.Millisecond)
		}
		g.Expect(d.TakeFindings(d.now)).To(BeEmpty())
		d.wait(800 * time.Millisecond)
		g.Expect(d.TakeResets(d.now)).To(BeEmpty())
		for _, p := range flows {
			p.SequenceNumber += 200
			p.AckNumber += 600
		}
	}
}

// TestMute guards against new flows at a backend server that acknowledges requests and answers none: callers give up and open others,
// and it has the fewest open flows (benammar-lb-grown, 20% of the backend servers: 1,320 tries to their deadline).
func TestMute(t *testing.T) {
	g := NewWithT(t)
	d := newDaemon(1, toOvens, zone(4, 1, "ovenwatch", "souillac")...)
	wasted := 0
	for range 60 {
		p, opened := d.established()
		d.Steer(d.now, p)
		if opened.Server == 1 {
			wasted++
			d.wait(500 * time.Millisecond)
		} else {
			d.wait(20 * time.Millisecond)
			p.AckNumber += 1200
		}
		p.Flags, p.SequenceNumber, p.DataLength = editor.Flags{ACK: true, FIN: true}, p.SequenceNumber+200, 0
		d.Steer(d.now, p)
	}
	g.Expect(wasted).To(BeNumerically("<=", 4), "two that tell, and trials")
	g.Expect(d.TakeFindings(d.now)).To(ConsistOf(And(HaveField("Server", directory.ServerID(1)), HaveField("Condition", steerer.Suspected))))
	d.wait(6 * time.Second)
	g.Expect(d.placedAt(1, 20)).To(BeNumerically(">", 0), "it is tried again")
}

// TestGivenUpElsewhere guards against suspicion when callers give up requests that were lost before they reached a backend server: a
// daemon that has just started sees only their last copies (benammar-lb scale-1: 121 lines with false findings in 10 s after a loss of six daemons).
func TestGivenUpElsewhere(t *testing.T) {
	g := NewWithT(t)
	before := newDaemon(1, toOvens, backend(1, "ovenwatch", "souillac"))
	fresh := newDaemon(2, toOvens, backend(1, "ovenwatch", "souillac"))
	for i := range 12 {
		p, _ := before.established() // the request is lost with the daemon
		if i%2 == 0 {
			fresh.Steer(fresh.now, p)
			fresh.wait(300 * time.Millisecond)
		}
		p.Flags, p.SequenceNumber, p.DataLength = editor.Flags{ACK: true, FIN: true}, p.SequenceNumber+200, 0
		fresh.Steer(fresh.now, p)
		g.Expect(fresh.TakeFindings(fresh.now)).To(BeEmpty())
	}
}

// TestHandshakeOverAnotherDaemon guards against a daemon that has just joined, sees the second copy of an opening packet and takes the
// answer to the first one for a short handshake: callers that are far away repeat every request once, and their flows were reset
// (FLOW, isbc-grid with 90 ms to callers, quiet-1 --seed 112562563686).
func TestHandshakeOverAnotherDaemon(t *testing.T) {
	g := NewWithT(t)
	d := newDaemon(1, toOvens, zone(1, 1, "ovenwatch", "souillac")...)
	var flows []*editor.Packet
	for range 4 {
		p := d.caller()
		p.AckNumber = 1 // the first copy
		opened := d.Steer(d.now, p)
		d.wait(10 * time.Millisecond)
		p.Flags, p.Tag, p.AckNumber = editor.Flags{ACK: true}, opened.Tag, 5000
		d.Steer(d.now, p)
		p.SequenceNumber, p.DataLength = 1001, 200
		flows = append(flows, p)
	}
	for round := range 2 {
		for _, p := range flows {
			g.Expect(d.Steer(d.now, p).Action).To(Equal(steerer.Forward), "round %d", round)
			d.wait(100 * time.Millisecond)
		}
	}
}

// TestStaleSilence guards against a daemon that was cut off and resets flows seconds after the cut on what it saw then: nothing
// reached it that could have told otherwise (FLOW, isbc-grid with 90 ms to callers, mix --seed 1056196191028).
func TestStaleSilence(t *testing.T) {
	g := NewWithT(t)
	d := newDaemon(1, toOvens, zone(1, 1, "ovenwatch", "souillac")...)
	d.silence(1)
	d.wait(3 * time.Second)
	p, _ := newDaemon(2, toOvens, zone(1, 1, "ovenwatch", "souillac")...).established()
	p.Source = netip.MustParseAddrPort("100.64.9.9:9")
	g.Expect(d.Steer(d.now, p).Action).To(Equal(steerer.Forward), "moved here after the cut")
	d.wait(200 * time.Millisecond)
	g.Expect(d.Steer(d.now, p).Cause).To(Equal(steerer.BackendServerSilent), "still silent")
}
