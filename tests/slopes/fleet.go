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

// daemon is the control side of one daemon: peer socket and relayer on one port.
type daemon struct {
	peers   *peers.Peers
	relayer *relayer.Relayer

	mu      sync.Mutex
	arrived map[uint64]time.Time // revision → when its view was delivered
	// arrivedPlace is the same for revisions of the document of placeMeasured.
	arrivedPlace map[uint64]time.Time
}

// settings of a fleet that runs in this process.
type fleetConfig struct {
	seed     uint64
	size     int
	platform string
	loss     float64
	// members replaces the peer sockets by a fixed membership.
	members bool
	poll    time.Duration
	wait    time.Duration
}

// group runs daemons of one availability zone until stop is called.
type group struct {
	daemons []*daemon
	cancel  context.CancelFunc
	running errgroup.Group
}

func (g *group) stop() error {
	g.cancel()
	return g.running.Wait()
}

func startFleet(c fleetConfig) (*group, error) {
	ctx, cancel := context.WithCancel(context.Background())
	g := &group{cancel: cancel}
	link := &link{loss: c.loss, random: rand.New(rand.NewPCG(c.seed, 11))}
	var seeds, all []netip.AddrPort
	for i := range c.size {
		d, err := newDaemon(c, i, link, seeds, &all)
		if err != nil {
			return nil, errors.Join(err, g.stop())
		}
		if len(seeds) < 3 && d.peers != nil {
			seeds = append(seeds, d.peers.Address())
		}
		g.daemons = append(g.daemons, d)
	}
	list := &fleet.List{}
	for _, a := range all {
		list.VMs = append(list.VMs, fleet.VM{Address: a, AvailabilityZone: "souillac", Role: fleet.Balancer})
	}
	for _, d := range g.daemons {
		if d.peers != nil {
			d.peers.SetCandidates(list)
			g.running.Go(func() error { return d.peers.Run(ctx) })
		}
		if d.relayer != nil {
			g.running.Go(func() error { return d.relayer.Run(ctx) })
			g.running.Go(func() error { return d.watch(ctx) })
		}
	}
	return g, nil
}

func newDaemon(c fleetConfig, i int, l *link, seeds []netip.AddrPort, all *[]netip.AddrPort) (*daemon, error) {
	listener, socket, err := listenBoth()
	if err != nil {
		return nil, err
	}
	self := listener.Addr().(*net.TCPAddr).AddrPort()
	*all = append(*all, self)
	d := &daemon{arrived: make(map[uint64]time.Time), arrivedPlace: make(map[uint64]time.Time)}
	random := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(c.seed+uint64(i), stream)) }
	var members relayer.Members = fixed{all, self, random(1)}
	if c.members {
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
	if c.platform == "" {
		return d, listener.Close()
	}
	d.relayer, err = relayer.New(relayer.Config{
		PlatformURL: c.platform, AvailabilityZone: placeMeasured, Self: self, Listener: &lossyListener{listener, l}, Seeds: seeds, Members: members,
		Random: random(3), PollInterval: c.poll, LongPollTimeout: c.wait, Dial: l.dial,
	})
	if err == nil && d.peers != nil {
		d.peers.SetDocuments(d.relayer)
	}
	return d, err
}

// listenBoth opens a TCP listener and a UDP socket on one port. Another process may hold the UDP port of a free TCP port.
func listenBoth() (net.Listener, *net.UDPConn, error) {
	var failure error
	for range 20 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, err
		}
		socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listener.Addr().(*net.TCPAddr).AddrPort()))
		if err == nil {
			return listener, socket, nil
		}
		failure = errors.Join(err, listener.Close())
	}
	return nil, nil, failure
}

// watch notes when the view of each revision is delivered.
func (d *daemon) watch(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case v := <-d.relayer.Views():
			d.mu.Lock()
			if _, ok := d.arrived[v.Tree.Revision]; !ok {
				d.arrived[v.Tree.Revision] = time.Now()
			}
			if n, ok := v.DocumentRevision(documentMeasured); ok && d.arrivedPlace[n].IsZero() {
				d.arrivedPlace[n] = time.Now()
			}
			d.mu.Unlock()
		}
	}
}

// fixed is a membership in which all daemons are live.
type fixed struct {
	all    *[]netip.AddrPort
	self   netip.AddrPort
	random *rand.Rand
}

// ZoneMembers returns all daemons.
func (f fixed) ZoneMembers() []netip.AddrPort { return *f.all }

// RandomPeers returns n daemons at random.
func (f fixed) RandomPeers(n int) []netip.AddrPort {
	var list []netip.AddrPort
	for range 4 * n {
		if a := (*f.all)[f.random.IntN(len(*f.all))]; a != f.self && len(list) < n {
			list = append(list, a)
		}
	}
	return list
}

// IsLive returns true.
func (f fixed) IsLive(netip.AddrPort) bool { return true }
