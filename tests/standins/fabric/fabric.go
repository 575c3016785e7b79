package main

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
)

// fabric holds the sockets and the faults of the stand-in.
type fabric struct {
	ctx      context.Context
	group    *errgroup.Group
	platform netip.AddrPort
	counters counters
	random   *lockedRand

	callerLink, peerLink, platformLink *link

	mu               sync.Mutex
	cutZones         map[[2]int]bool
	cutPlatformZones map[int]bool
	services         map[string]*service
	balancers        map[string]*balancer
	peerSockets      map[netip.Addr]*peerSocket
	liveBalancers    atomic.Pointer[[]*balancer]
}

func newFabric(ctx context.Context, g *errgroup.Group, c admin.FabricConfig) *fabric {
	r := newRand(c.Seed)
	f := &fabric{
		ctx: ctx, group: g, platform: c.Platform, random: r,
		callerLink: &link{random: r}, peerLink: &link{random: r}, platformLink: &link{random: r},
		cutZones: map[[2]int]bool{}, cutPlatformZones: map[int]bool{},
		services: map[string]*service{}, balancers: map[string]*balancer{}, peerSockets: map[netip.Addr]*peerSocket{},
	}
	f.liveBalancers.Store(&[]*balancer{})
	return f
}

// zoneOf returns the number of the availability zone Z in the address of a balancer, 127.1.Z.K.
func zoneOf(a netip.Addr) (int, bool) {
	b := a.Unmap().As4()
	return int(b[2]), b[0] == 127 && b[1] == 1
}

// zonesCut reports whether two availability zones cannot reach each other.
func (f *fabric) zonesCut(a, b int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutZones[[2]int{min(a, b), max(a, b)}]
}

func (f *fabric) platformCut(zone int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutPlatformZones[zone]
}

func (f *fabric) setFaults(n admin.FabricFaults) error {
	f.callerLink.setFaults(n.Caller)
	f.peerLink.setFaults(n.Peer)
	f.platformLink.setFaults(n.Platform)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutZones, f.cutPlatformZones = map[[2]int]bool{}, map[int]bool{}
	for _, z := range n.CutZones {
		f.cutZones[[2]int{min(z[0], z[1]), max(z[0], z[1])}] = true
	}
	for _, z := range n.CutPlatform {
		f.cutPlatformZones[z] = true
	}
	return nil
}

func (f *fabric) admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/faults", admin.HandlePost(f.setFaults))
	mux.HandleFunc("GET /admin/counters", admin.HandleGet(f.counterReport))
	mux.HandleFunc("POST /admin/balancers", admin.HandlePost(func(c admin.FabricBalancers) error {
		for _, name := range c.Remove {
			f.removeBalancer(name)
		}
		for _, b := range c.Add {
			if err := f.addBalancer(b); err != nil {
				return err
			}
		}
		return nil
	}))
	mux.HandleFunc("POST /admin/services", admin.HandlePost(func(c admin.FabricServices) error {
		for _, name := range c.Remove {
			f.removeService(name)
		}
		for _, s := range c.Add {
			if err := f.addService(s); err != nil {
				return err
			}
		}
		return nil
	}))
	return mux
}

func (f *fabric) counterReport() admin.FabricCounters {
	c := admin.FabricCounters{Counters: f.counters.snapshot(), Live: map[string]bool{}, SentDatagrams: map[string]uint64{}}
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, b := range f.balancers {
		c.Live[name] = b.healthy.Load()
		c.SentDatagrams[name] = b.sentDatagrams.Load()
	}
	return c
}

// errDuplicate reports a name that is already in use.
func errDuplicate(kind, name string) error {
	return eris.Errorf("%s %s is already registered: remove it first", kind, name)
}

// counters are named counters.
type counters struct {
	mu     sync.Mutex
	values map[string]uint64
}

func (c *counters) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.values == nil {
		c.values = map[string]uint64{}
	}
	c.values[name]++
}

func (c *counters) snapshot() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := map[string]uint64{}
	for k, v := range c.values {
		m[k] = v
	}
	return m
}
