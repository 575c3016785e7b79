package steerer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// callerWindow is how far the sequence number of a reset may be from the newest acknowledgement of the caller.
const callerWindow = 76_800

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

// TestResetsAfterHandovers guards against resets outside of the caller's window in random orders of stops and starts of daemons, responses
// and losses of backend servers. Some handovers do not show in the membership.
func TestResetsAfterHandovers(t *testing.T) {
	resets := 0
	for seed := range uint64(200) {
		resets += playHandovers(t, seed)
	}
	if resets < 200 {
		t.Errorf("daemons reset %d idle flows of lost backend servers in all runs", resets)
	}
}

// carriedFlow is an open flow with the daemon to which the fabric sends its packets.
type carriedFlow struct {
	packet  *editor.Packet
	server  directory.ServerID
	carrier int
	home    int // carrier while all daemons run
	rate    int // bytes per response
	reset   bool
}

// playHandovers plays 30 s with three daemons, of which one stops and starts again, and returns the number of resets.
func playHandovers(t *testing.T, seed uint64) int {
	random := rand.New(rand.NewPCG(seed, 2))
	list := newBackendServers(4, 1, "ovenwatch", "souillac")
	daemons := make([]*daemon, 3)
	for i := range daemons {
		daemons[i] = newDaemon(seed+uint64(i), ovenConfiguration, list...)
	}
	flows := make([]*carriedFlow, 24)
	for i := range flows {
		home := random.IntN(len(daemons))
		d := daemons[home]
		d.port = uint16(1000 + i)
		p, opened := d.openFlow()
		flows[i] = &carriedFlow{packet: p, server: opened.Server, carrier: home, home: home, rate: 100 + random.IntN(1400)}
	}
	const step = 100 * time.Millisecond
	stopped, stopAt, startAt := random.IntN(len(daemons)), random.IntN(100), 100+random.IntN(100)
	announced, crashAt, resets := random.IntN(4) > 0, random.IntN(300), 0
	for tick := range 300 {
		if tick == stopAt || tick == startAt {
			for i, d := range daemons {
				if i != stopped && announced {
					d.SetMembershipGeneration(d.now, uint64(tick+1))
				}
			}
			if tick == startAt {
				fresh := newDaemon(seed+9, ovenConfiguration, list...)
				fresh.now = daemons[stopped].now
				daemons[stopped] = fresh
			}
		}
		if tick == crashAt {
			list = list[1:]
			for _, d := range daemons {
				d.SetBackendList(d.now, &directory.BackendList{Position: directory.Position{Revision: 2}, Servers: list})
			}
		}
		for _, f := range flows {
			switch {
			case tick > stopAt+10 && tick < startAt && f.home == stopped:
				f.carrier = (stopped + 1) % len(daemons)
			case tick > startAt+random.IntN(10):
				f.carrier = f.home
			}
			if f.reset || tick >= crashAt && f.server == 1 || random.IntN(3) == 0 {
				continue
			}
			d := daemons[f.carrier]
			f.packet.AckNumber += uint32(f.rate)
			f.packet.SequenceNumber += 200
			d.Steer(d.now, f.packet)
		}
		order := random.Perm(len(daemons))
		for _, i := range order {
			d := daemons[i]
			d.advance(step)
			for _, lost := range d.TakeLostFlows(d.now) {
				for _, f := range flows {
					if f.packet.Source != lost.Packet.Source || f.reset {
						continue
					}
					resets++
					if distance := int32(f.packet.AckNumber - lost.Packet.AckNumber); distance > callerWindow || distance < -callerWindow {
						t.Errorf("seed %d, step %d: daemon %d resets a flow of daemon %d %d bytes behind its acknowledgement", seed, tick, i, f.carrier, distance)
						continue
					}
					f.reset = true
				}
			}
		}
	}
	return resets
}
