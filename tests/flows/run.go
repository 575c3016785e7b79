package main

import (
	"math/rand/v2"
	"time"
)

// Results of option.route other than the number of a backend server.
const (
	none      = -1 // no backend server: the packet is lost
	flowEnded = -2 // the balancer answered that the flow has ended
)

// flow is one feed, with the state that its caller and its backend server have.
type flow struct {
	id            uint64 // changes with each opening
	number        int
	callerZone    int
	server        int // number of the backend server that holds the flow, or none
	lastDelivery  time.Duration
	token         []byte // used by option D only
	moveRequested bool   // the balancer has sent a move datagram
}

// option is one way to keep established flows on their backend servers.
type option interface {
	name() string
	// viewUpdated is called when a balancer has a newer view, and when a balancer starts.
	viewUpdated(now time.Duration, b *balancer)
	// stop is called when the graceful shutdown of a balancer begins.
	stop(now time.Duration, b *balancer)
	// tick is called once in each time step.
	tick(now time.Duration)
	// route returns the backend server that receives a packet of the flow through the balancer, none if the packet is lost, or
	// flowEnded.
	route(now time.Duration, b *balancer, f *flow) int
	// entryCount returns the number of flows for which the balancer has an entry.
	entryCount(b *balancer) int
	// entrySize returns the memory of one entry in bytes.
	entrySize() int
}

// tally holds the results of one option.
type tally struct {
	openedFlows, sentPackets   int
	breaks                     int // packets to another backend server than the flow's, and silences of more than 10 s
	lostPackets                int // packets that did not arrive although the balancer's zone can reach the backend server
	movedFlows                 int
	flowsOnDrainedServer       int // at the end
	peakEntries, finalEntries  int // entries of the balancer that has the most: at any time, and at the end
	breaksByPhase              map[string]int
	brokenFlows, silenceBreaks int
}

// simulation runs one option through the scenario.
type simulation struct {
	timeline    *timeline
	option      option
	random      *rand.Rand
	flows       []*flow
	tally       tally
	brokenFlows map[int]bool // numbers of the flows that broke at least once
}

// simulate runs an option through a timeline and returns its results.
func simulate(o option, t *timeline, flows, churn int, seed uint64) tally {
	s := &simulation{timeline: t, option: o, random: rand.New(rand.NewPCG(seed, 2)), brokenFlows: map[int]bool{}}
	s.tally.breaksByPhase = map[string]int{}
	for _, b := range t.balancers {
		b.versionIndex = 0
	}
	for i := range flows {
		s.flows = append(s.flows, &flow{number: i, id: s.random.Uint64(), callerZone: i % zones, server: none})
	}
	perInterval := int(packetInterval / timeStep)
	for stepNumber := 0; time.Duration(stepNumber)*timeStep < endAt; stepNumber++ {
		now := time.Duration(stepNumber) * timeStep
		s.advance(now)
		for i := stepNumber % perInterval; i < len(s.flows); i += perInterval {
			if now >= openDuration*time.Duration(i)/time.Duration(len(s.flows)) {
				s.send(now, s.flows[i])
			}
		}
		if now >= openDuration && stepNumber%100 == 0 {
			s.replaceFlows(churn)
		}
		s.recordEntries(now)
	}
	for _, f := range s.flows {
		if f.server == drainedServer {
			s.tally.flowsOnDrainedServer++
		}
	}
	s.tally.brokenFlows = len(s.brokenFlows)
	return s.tally
}

// advance delivers new views and begins graceful shutdowns.
func (s *simulation) advance(now time.Duration) {
	for _, b := range s.timeline.balancers {
		if !b.isAlive(now) {
			continue
		}
		if newest := b.newestVersion(now); newest != b.versionIndex || now == 0 {
			b.versionIndex = newest
			s.option.viewUpdated(now, b)
		} else if b.startAt > now-timeStep && b.startAt <= now {
			s.option.viewUpdated(now, b)
		}
		if b.stopAt > now-timeStep && b.stopAt <= now {
			s.option.stop(now, b)
		}
	}
	s.option.tick(now)
}

// selectBalancer returns the balancer that the fabric chooses at random for a packet from a zone.
func (s *simulation) selectBalancer(now time.Duration, zone int) *balancer {
	var candidates []*balancer
	for _, b := range s.timeline.balancers {
		if b.isServing(now) && areConnected(now, zone, b.zone) {
			candidates = append(candidates, b)
		}
	}
	return candidates[s.random.IntN(len(candidates))]
}

// send sends one packet of a flow and evaluates where it arrives.
func (s *simulation) send(now time.Duration, f *flow) {
	b := s.selectBalancer(now, f.callerZone)
	s.tally.sentPackets++
	if f.server != none && now-f.lastDelivery > silenceTimeout {
		s.tally.silenceBreaks++
		s.breakFlow(now, f)
	}
	if f.moveRequested && f.server != none {
		s.moveFlow(now, f)
		return
	}
	to := s.option.route(now, b, f)
	switch {
	case to == flowEnded && f.server == none:
	case to == none:
		if f.server != none && areConnected(now, b.zone, zoneOfServer(f.server)) {
			s.tally.lostPackets++
		}
	case f.server == none:
		f.server, f.lastDelivery = to, now
		s.tally.openedFlows++
	case to == f.server:
		f.lastDelivery = now
	default:
		s.breakFlow(now, f)
	}
}

// breakFlow counts a break and ends the flow. Its caller opens a new one with the next packet.
func (s *simulation) breakFlow(now time.Duration, f *flow) {
	s.tally.breaks++
	s.brokenFlows[f.number] = true
	s.tally.breaksByPhase[phase(now)]++
	s.resetFlow(f)
}

// resetFlow gives a flow a new id, so that its next packet opens it.
func (s *simulation) resetFlow(f *flow) {
	f.id, f.server, f.token, f.moveRequested = s.random.Uint64(), none, nil, false
}

// moveFlow opens a new flow before the old one ends, as the caller library does on a move datagram.
func (s *simulation) moveFlow(now time.Duration, f *flow) {
	next := *f
	s.resetFlow(&next)
	to := s.option.route(now, s.selectBalancer(now, f.callerZone), &next)
	if to < 0 {
		return
	}
	*f = next
	f.server, f.lastDelivery = to, now
	s.tally.movedFlows++
}

// replaceFlows ends random flows. Each is opened anew with its next packet.
func (s *simulation) replaceFlows(n int) {
	for range n {
		s.resetFlow(s.flows[s.random.IntN(len(s.flows))])
	}
}

// recordEntries counts the entries of the balancer that has the most, for the peak and for the value at the end.
func (s *simulation) recordEntries(now time.Duration) {
	maxEntries := 0
	for _, b := range s.timeline.balancers {
		if b.isAlive(now) {
			maxEntries = max(maxEntries, s.option.entryCount(b))
		}
	}
	s.tally.peakEntries, s.tally.finalEntries = max(s.tally.peakEntries, maxEntries), maxEntries
}

// phase returns the name of the phase of the scenario at a time.
func phase(now time.Duration) string {
	switch {
	case now < drainAt:
		return "start"
	case now < firstReplacementAt:
		return "drain"
	case now < partitionAt:
		return "replacement"
	case now < partitionEndAt:
		return "partition"
	default:
		return "after"
	}
}
