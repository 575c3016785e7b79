package steerer_test

import (
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
	"github.com/bluebelldyke/bluebelldyke/services/inquirer"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

const (
	// callerWindow is how far the sequence number of a reset may be from the newest acknowledgement of the caller.
	callerWindow = 76_800
	// flightSize is how many bytes a backend server sends beyond the newest acknowledgement that has reached it: 16 packets.
	flightSize = 16 * 1200
)

// TestMovedFlow guards against a daemon that resets a flow with an old acknowledgement after the fabric has given the flow to another daemon,
// and against one that no longer resets the idle flows that it carries.
func TestMovedFlow(t *testing.T) {
	g := NewWithT(t)
	d := newDaemon(1, ovenConfiguration, newBackendServer(1, "ovenwatch", "souillac"))
	moved, _ := d.openFlow()
	kept, _ := d.openFlow()
	d.Steer(d.now, moved)
	d.SetMembershipGeneration(d.now, 1) // a daemon joins, which gets the first flow 2 s later at the latest
	d.advance(2 * time.Second)
	d.Steer(d.now, kept)
	d.advance(6 * time.Second)
	d.SetBackendList(d.now, &directory.BackendList{Position: directory.Position{Revision: 2}})
	d.advance(4 * time.Second)
	lost := d.TakeLostFlows(d.now)
	g.Expect(lost).To(HaveLen(1))
	g.Expect(lost[0].Packet.Source).To(Equal(kept.Source))
	moved.SequenceNumber += 200
	g.Expect(d.Steer(d.now, moved).Cause).To(Equal(steerer.BackendServerRemoved), "the next packet is reset with its own acknowledgement")
}

// TestIdleFlowAfterGap guards against a reset of a flow that daemons of another zone may carry, which are not asked: while no packet at all
// arrives, the whole zone may be out of rotation.
func TestIdleFlowAfterGap(t *testing.T) {
	g := NewWithT(t)
	self := netip.MustParseAddrPort("10.1.0.1:7400")
	d := newDaemon(1, ovenConfiguration, newBackendServer(1, "ovenwatch", "souillac"))
	d.SetForwarders(self, &inquirer.Zone{Members: []netip.AddrPort{self}})
	before, _ := d.openFlow()
	d.Steer(d.now, before)
	d.advance(500 * time.Millisecond)
	after, _ := d.openFlow()
	other, _ := d.openFlow()
	for range 30 {
		d.advance(300 * time.Millisecond)
		d.Steer(d.now, other)
		if d.now.Sub(start) == 3200*time.Millisecond {
			d.Steer(d.now, after)
			d.SetBackendList(d.now, &directory.BackendList{Position: directory.Position{Revision: 2}})
		}
	}
	lost := d.TakeLostFlows(d.now)
	g.Expect(lost).To(HaveLen(1))
	g.Expect(lost[0].Packet.Source).To(Equal(after.Source))
}

// TestSightings guards against a daemon that does not remember a flow that it has carried, or that does not say that it may have forgotten one.
func TestSightings(t *testing.T) {
	g := NewWithT(t)
	d := newDaemon(1, ovenConfiguration, newBackendServer(1, "ovenwatch", "souillac"))
	p, _ := d.openFlow()
	d.advance(time.Second)
	p.AckNumber = 9000
	d.Steer(d.now, p)
	query := &inquirer.Query{ID: 3, Flows: []inquirer.Flow{{Client: p.Source, Route: p.Destination}, {Client: p.Destination, Route: p.Source}}}
	d.advance(time.Second)
	seen := inquirer.Sighting{Seen: true, Idle: time.Second, Acknowledged: true, Acknowledgement: 9000}
	g.Expect(d.AnswerQuery(d.now, query)).To(Equal(inquirer.Reply{ID: 3, Memory: 2 * time.Second, Activity: inquirer.Activity{1<<10 | 1<<20}, Sightings: []inquirer.Sighting{seen, {}}}))

	d.SetBackendList(d.now, &directory.BackendList{Position: directory.Position{Revision: 2}})
	d.advance(3 * time.Second)
	g.Expect(d.Steer(d.now, p).Cause).To(Equal(steerer.BackendServerRemoved))
	d.advance(time.Second)
	g.Expect(d.AnswerQuery(d.now, query).Sightings[0]).To(Equal(seen), "a flow that was reset by its own packet")

	d.advance(20 * time.Second)
	d.Sweep(d.now)
	reply := d.AnswerQuery(d.now, query)
	g.Expect(reply.Sightings[0]).To(Equal(inquirer.Sighting{}))
	g.Expect(reply.Memory).To(BeNumerically("<", 21*time.Second), "later than the flow that is forgotten")
	g.Expect(d.Renew(true).AnswerQuery(d.now, query).Memory).To(BeZero(), "after the state was lost")
}

// TestResetsAfterHandovers guards against resets outside of the caller's window in random orders of handovers that the membership shows or not,
// stops, starts and pauses of daemons, lost messages, changed rates of flows, and losses of backend servers. The fabric moves the flows of a
// daemon or, with the hash "mod", nearly all flows. HANDOVER_SEEDS sets the number of runs.
func TestResetsAfterHandovers(t *testing.T) {
	seeds := uint64(300)
	if n, err := strconv.ParseUint(os.Getenv("HANDOVER_SEEDS"), 10, 64); err == nil {
		seeds = n
	}
	resets := 0
	for seed := range seeds {
		resets += playHandovers(t, seed)
	}
	if uint64(resets) < seeds {
		t.Errorf("daemons reset %d idle flows of lost backend servers in %d runs", resets, seeds)
	}
}

// carriedFlow is an open flow.
type carriedFlow struct {
	packet    *editor.Packet
	server    directory.ServerID
	hash      int
	rate      int    // bytes per step
	forwarded uint32 // newest acknowledgement that has reached the backend server
	idle      bool
	reset     bool
}

// forwarder is a daemon of a zone. Packets wait while it is paused. A daemon that has failed is a member until that is detected.
type forwarder struct {
	*daemon
	address           netip.AddrPort
	stopped, rotation bool
	failedFor         int // steps, if it has not announced its stop
	pausedFor         int // steps
	waiting           []func()
}

// detectionSteps is the number of steps after which a failed daemon is out of rotation and known to have failed.
const detectionSteps = 30

// zone is the daemons of an availability zone with their flows.
type zone struct {
	random     *rand.Rand
	forwarders []*forwarder
	flows      []*carriedFlow
	list       []directory.BackendServer
	modulo     bool
	generation uint64
	lossShare  float64 // of the messages between daemons
	started    int
}

// start starts a daemon in the place i.
func (z *zone) start(i int, now time.Time) {
	z.started++
	f := &forwarder{daemon: &daemon{now: now}, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}), 7400), rotation: true}
	f.Steerer = steerer.New(steerer.Config{AvailabilityZone: "souillac", Random: rand.New(rand.NewPCG(uint64(z.started), 1)), LastQuery: z.random.Uint64()})
	f.SetConfiguration(now, ovenConfiguration)
	f.SetBackendList(now, &directory.BackendList{Position: directory.Position{Revision: 1}, Servers: z.list})
	z.forwarders[i] = f
}

// carrier returns the daemon to which the fabric sends the packets of a flow: one of those in rotation, of all if fewer than half are.
func (z *zone) carrier(f *carriedFlow) *forwarder {
	var chosen []*forwarder
	for _, d := range z.forwarders {
		if d.rotation {
			chosen = append(chosen, d)
		}
	}
	if 2*len(chosen) < len(z.forwarders) {
		chosen = z.forwarders
	}
	if home := z.forwarders[f.hash%len(z.forwarders)]; !z.modulo && slices.Contains(chosen, home) {
		return home
	}
	return chosen[f.hash/7%len(chosen)]
}

// announce tells the daemons that run of their membership.
func (z *zone) announce() {
	z.generation++
	for _, d := range z.forwarders {
		if !d.stopped {
			d.SetMembershipGeneration(d.now, z.generation)
		}
	}
}

// members returns the daemons that are members, and those that are known to have failed.
func (z *zone) members() (live, lost []netip.AddrPort) {
	for _, d := range z.forwarders {
		switch {
		case !d.stopped, d.failedFor > 0 && d.failedFor < detectionSteps:
			live = append(live, d.address)
		case d.failedFor > 0:
			lost = append(lost, d.address)
		}
	}
	return live, lost
}

// exchange lets the daemons that are not paused reset flows after they have asked the others.
func (z *zone) exchange(handle func(d *forwarder, lost steerer.LostFlow)) {
	live, lost := z.members()
	byAddress := map[netip.AddrPort]*forwarder{}
	var running []*forwarder
	for _, i := range z.random.Perm(len(z.forwarders)) {
		if d := z.forwarders[i]; !d.stopped && d.pausedFor == 0 {
			running = append(running, d)
			byAddress[d.address] = d
			d.SetForwarders(d.address, &inquirer.Zone{Members: live, Lost: lost})
		}
	}
	for _, d := range running {
		if hold, ok := d.TakeTakeover(d.now); ok {
			for _, to := range running {
				to.AddTakeover(to.now, d.address, hold)
			}
		}
		taken := d.TakeLostFlows(d.now)
		for _, m := range d.TakeQueries(d.now) {
			to := byAddress[m.To]
			if to == nil || z.random.Float64() < z.lossShare {
				continue
			}
			reply := to.AnswerQuery(to.now, &m.Query)
			if z.random.Float64() >= z.lossShare {
				d.AddReply(d.now, m.To, &reply)
			}
		}
		for _, lost := range append(taken, d.TakeLostFlows(d.now)...) {
			handle(d, lost)
		}
	}
}

// sendPacket sends the next packet of a flow through the daemon that the fabric chooses.
func (z *zone) sendPacket(f *carriedFlow) {
	d := z.carrier(f)
	f.packet.AckNumber = min(f.packet.AckNumber+uint32(f.rate), f.forwarded+flightSize)
	f.packet.SequenceNumber += 200
	packet := *f.packet
	deliver := func() {
		if d.Steer(d.now, &packet).Action == steerer.Forward {
			f.forwarded = max(f.forwarded, packet.AckNumber)
		}
	}
	switch {
	case d.stopped:
	case d.pausedFor > 0:
		d.waiting = append(d.waiting, deliver)
	default:
		deliver()
	}
}

// disturb draws a handover, a stop, a start or a pause.
func (z *zone) disturb() {
	i := z.random.IntN(len(z.forwarders))
	d := z.forwarders[i]
	switch kind := z.random.IntN(6); {
	case d.stopped: // starts again, and reaches its peers before the fabric
		z.start(i, z.forwarders[(i+1)%len(z.forwarders)].now)
		z.announce()
	case kind == 0:
		d.stopped, d.rotation = true, false
		z.announce()
	case kind == 1:
		d.stopped, d.failedFor = true, 1
	case kind == 2:
		d.pausedFor = 1 + z.random.IntN(30)
	default: // its checks get no answer, or are answered again
		d.rotation = !d.rotation
	}
}

// advance passes time.
func (z *zone) advance(step time.Duration) {
	now := z.forwarders[0].now.Add(step)
	for _, d := range z.forwarders {
		d.now = now
		if d.failedFor > 0 {
			if d.failedFor++; d.failedFor == detectionSteps {
				d.rotation = false
				z.announce()
			}
		}
		if d.pausedFor == 0 || d.stopped {
			continue
		}
		if d.pausedFor--; d.pausedFor == 0 {
			d.HandlePause(now)
			for _, deliver := range d.waiting {
				deliver()
			}
			d.waiting = nil
		}
	}
}

// playHandovers plays 30 s with three to five daemons and returns the number of resets.
func playHandovers(t *testing.T, seed uint64) int {
	random := rand.New(rand.NewPCG(seed, 2))
	z := &zone{random: random, forwarders: make([]*forwarder, 3+random.IntN(3)), list: newBackendServers(4, 1, "ovenwatch", "souillac"), modulo: random.IntN(3) == 0}
	if random.IntN(2) == 0 {
		z.lossShare = 0.05
	}
	for i := range z.forwarders {
		z.start(i, start)
	}
	for i := range 40 {
		f := &carriedFlow{hash: random.IntN(1 << 16)}
		d := z.carrier(f)
		d.port = uint16(1000 + i)
		p, opened := d.openFlow()
		f.packet, f.server, f.forwarded = p, opened.Server, p.AckNumber
		z.flows = append(z.flows, f)
	}
	const step = 100 * time.Millisecond
	crashAt, resets := 60+random.IntN(200), 0
	for tick := range 300 {
		if random.IntN(40) == 0 {
			z.disturb()
		}
		if tick == crashAt {
			z.list = z.list[1:]
			for _, d := range z.forwarders {
				d.SetBackendList(d.now, &directory.BackendList{Position: directory.Position{Revision: 2}, Servers: z.list})
			}
		}
		for _, f := range z.flows {
			if random.IntN(30) == 0 { // from one request a second or none to 30 a second and more
				f.rate, f.idle = []int{0, 100, 3000, 19_000}[random.IntN(4)], random.IntN(2) == 0
			}
			if !f.reset && !f.idle && (tick < crashAt || f.server != 1) {
				z.sendPacket(f)
			}
		}
		z.advance(step)
		z.exchange(func(d *forwarder, lost steerer.LostFlow) {
			i := slices.IndexFunc(z.flows, func(f *carriedFlow) bool { return f.packet.Source == lost.Packet.Source })
			f := z.flows[i]
			if f.reset {
				return
			}
			resets++
			if distance := int32(f.packet.AckNumber - lost.Packet.AckNumber); distance > callerWindow || distance < -callerWindow {
				t.Errorf("seed %d, step %d: %s resets a flow %d bytes behind its acknowledgement", seed, tick, d.address, distance)
			}
			f.reset = true
		})
	}
	return resets
}
