package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/models/fleet"
	"github.com/bluebelldyke/bluebelldyke/routers/peers"
	"github.com/bluebelldyke/bluebelldyke/routers/relayer"
)

// daemon is the control plane of one daemon: a peer socket and a relayer on one port.
type daemon struct {
	peers   *peers.Peers
	relayer *relayer.Relayer

	mu                  sync.Mutex
	settingsDeliveredAt map[uint64]time.Time // delivery time of the first view with a revision of the settings
	placeDeliveredAt    map[uint64]time.Time // delivery time of the first view with a revision of measuredDocument
}

// fleetConfig describes a fleet of one availability zone that runs in this process.
type fleetConfig struct {
	seed        uint64
	size        int     // number of daemons
	platformURL string  // empty: no relayers
	lossRate    float64 // of datagrams and TCP segments
	// fixedMembership replaces the peer sockets by a membership in which all daemons are always live.
	fixedMembership bool
	pollInterval    time.Duration // mean time between the reads of a daemon that does not watch the platform
	watchTimeout    time.Duration // of the long polls of a daemon that watches the platform
}

// daemonGroup is a set of running daemons of one availability zone.
type daemonGroup struct {
	daemons []*daemon
	cancel  context.CancelFunc
	tasks   errgroup.Group
}

// stop stops all daemons and waits for their end.
func (g *daemonGroup) stop() error {
	g.cancel()
	return g.tasks.Wait()
}

// startFleet starts the daemons of a fleet. Unless the membership is fixed, the first three are the seeds of the others.
func startFleet(c fleetConfig) (*daemonGroup, error) {
	ctx, cancel := context.WithCancel(context.Background())
	g := &daemonGroup{cancel: cancel}
	l := &link{lossRate: c.lossRate, random: rand.New(rand.NewPCG(c.seed, 11))}
	var seeds, addresses []netip.AddrPort
	for i := range c.size {
		d, err := newDaemon(c, i, l, seeds, &addresses)
		if err != nil {
			return nil, errors.Join(err, g.stop())
		}
		if len(seeds) < 3 && d.peers != nil {
			seeds = append(seeds, d.peers.Address())
		}
		g.daemons = append(g.daemons, d)
	}
	list := &fleet.List{}
	for _, a := range addresses {
		list.VMs = append(list.VMs, fleet.VM{Address: a, AvailabilityZone: "souillac", Role: fleet.Balancer})
	}
	for _, d := range g.daemons {
		if d.peers != nil {
			d.peers.SetCandidates(list)
			g.tasks.Go(func() error { return d.peers.Run(ctx) })
		}
		if d.relayer != nil {
			g.tasks.Go(func() error { return d.relayer.Run(ctx) })
			g.tasks.Go(func() error { return d.recordDeliveries(ctx) })
		}
	}
	return g, nil
}

// newDaemon makes daemon i of a fleet and appends its address to addresses.
func newDaemon(c fleetConfig, i int, l *link, seeds []netip.AddrPort, addresses *[]netip.AddrPort) (*daemon, error) {
	listener, socket, err := listenTCPAndUDP()
	if err != nil {
		return nil, err
	}
	self := listener.Addr().(*net.TCPAddr).AddrPort()
	*addresses = append(*addresses, self)
	d := &daemon{settingsDeliveredAt: make(map[uint64]time.Time), placeDeliveredAt: make(map[uint64]time.Time)}
	random := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(c.seed+uint64(i), stream)) }
	var members relayer.Members = fixedMembership{addresses, self, random(1)}
	if c.fixedMembership {
		err = socket.Close()
	} else {
		d.peers, err = peers.New(peers.Config{
			Advertise: self, AvailabilityZone: "souillac", Incarnation: uint64(time.Now().UnixMilli()),
			Seeds: seeds, Random: random(2), Conn: &lossySocket{socket, l},
		})
		members = d.peers
	}
	if err != nil {
		return nil, err
	}
	if c.platformURL == "" {
		return d, listener.Close()
	}
	d.relayer, err = relayer.New(relayer.Config{
		PlatformURL: c.platformURL, AvailabilityZone: measuredPlace, Self: self, Listener: &lossyListener{listener, l},
		Seeds: seeds, Members: members, Random: random(3), PollInterval: c.pollInterval, LongPollTimeout: c.watchTimeout, Dial: l.dial,
	})
	if err == nil && d.peers != nil {
		d.peers.SetDocuments(d.relayer)
	}
	return d, err
}

// listenTCPAndUDP opens a TCP listener and a UDP socket on the same port. It tries several ports, because another process may
// use the UDP port of a free TCP port.
func listenTCPAndUDP() (net.Listener, *net.UDPConn, error) {
	var failures error
	for range 20 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, err
		}
		socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listener.Addr().(*net.TCPAddr).AddrPort()))
		if err == nil {
			return listener, socket, nil
		}
		failures = errors.Join(err, listener.Close())
	}
	return nil, nil, failures
}

// recordDeliveries records when the first view with each revision is delivered.
func (d *daemon) recordDeliveries(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case v := <-d.relayer.Views():
			d.mu.Lock()
			if _, ok := d.settingsDeliveredAt[v.Tree.Revision]; !ok {
				d.settingsDeliveredAt[v.Tree.Revision] = time.Now()
			}
			if n, ok := v.DocumentRevision(measuredDocument); ok && d.placeDeliveredAt[n].IsZero() {
				d.placeDeliveredAt[n] = time.Now()
			}
			d.mu.Unlock()
		}
	}
}

// fixedMembership implements relayer.Members. All daemons are always live in it.
type fixedMembership struct {
	addresses *[]netip.AddrPort
	self      netip.AddrPort
	random    *rand.Rand
}

// ZoneMembers implements relayer.Members. It returns all daemons.
func (f fixedMembership) ZoneMembers() []netip.AddrPort { return *f.addresses }

// RandomPeers implements relayer.Members. It returns at most n random other daemons.
func (f fixedMembership) RandomPeers(n int) []netip.AddrPort {
	var chosen []netip.AddrPort
	for range 4 * n {
		if a := (*f.addresses)[f.random.IntN(len(*f.addresses))]; a != f.self && len(chosen) < n {
			chosen = append(chosen, a)
		}
	}
	return chosen
}

// IsLive implements relayer.Members.
func (f fixedMembership) IsLive(netip.AddrPort) bool { return true }
