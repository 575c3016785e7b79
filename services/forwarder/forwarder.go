// Package forwarder makes the data path decisions of a balancer: a datagram goes in, datagrams to send come out. It
// has no sockets, goroutines or clock. Packets of established flows are forwarded by their token alone; the only state
// is one pending entry for each flow or request that is being set up.
package forwarder

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/models/view"
	"github.com/bluebelldyke/bluebelldyke/modules/counter"
	"github.com/bluebelldyke/bluebelldyke/modules/encapsulator"
	"github.com/bluebelldyke/bluebelldyke/modules/expirer"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/modules/sealer"
	"github.com/bluebelldyke/bluebelldyke/services/gatekeeper"
	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// Defaults of a Config.
const (
	defaultPendingCapacity = 65536
	defaultRequestTimeout  = 5 * time.Second
	defaultTokenLifetime   = 10 * time.Second
)

// moveSpread is the time over which the feeds of a leaving backend server are asked to move. Moving all at once would
// send their opens to the remaining backend servers in one burst.
const moveSpread = 2 * time.Second

// drainingHold is how long a backend server that refused work as draining counts as draining without new evidence.
const drainingHold = 10 * time.Second

// Placer chooses backend servers for new work.
type Placer interface {
	SetBackendServers(now time.Time, service string, servers []scheduler.BackendServer)
	Configure(service string, t scheduler.Tunables)
	SetZoneDelays(delays map[string]time.Duration)
	Place(now time.Time, w scheduler.Work) (netip.AddrPort, error)
	Retry(now time.Time, w scheduler.Work) (netip.AddrPort, error)
	Observe(now time.Time, o scheduler.Observation)
}

// Config holds what a Forwarder is made of.
type Config struct {
	// Self is the peer address of this balancer, which gate tokens name.
	Self netip.AddrPort
	// AvailabilityZone is the one of this balancer; its place in the settings gives the request time-out.
	AvailabilityZone string
	// Incarnation is the start time of this process in Unix milliseconds.
	Incarnation uint64
	Placer      Placer
	Gate        *gatekeeper.Gatekeeper
	Random      *rand.Rand
	Counters    *counter.Set
	// PendingCapacity bounds the number of flows and requests that are being set up; 0 means 65,536.
	PendingCapacity int
}

// Forwarder holds the state of the data path. It is not safe for concurrent use: one goroutine owns it.
type Forwarder struct {
	self        netip.AddrPort
	zone        string
	incarnation uint64
	placer      Placer
	gate        *gatekeeper.Gatekeeper
	random      *rand.Rand
	counters    *counter.Set
	capacity    int

	view     *view.View
	sealer   *sealer.Sealer
	revision uint64
	stopping bool
	// heldUntil is the end of the time in which no new work is placed because the view may be old.
	heldUntil time.Time

	epoch        time.Time // of the forwarder's clock
	seed         uint64    // of the keys of pending
	services     map[uint64]*settings.Service
	pending      map[uint64]*pending
	expiry       expirer.Queue[*pending]
	payload      []byte // scratch
	incarnations map[netip.AddrPort]uint64
	leaving      map[netip.AddrPort]time.Time
	drainUntil   map[netip.AddrPort]time.Time

	once        map[uint64]onceAttempt
	gateActions []gatekeeper.Action
	forwarded   bool // the datagram in hand came through another balancer

	in      framer.Datagram
	packet  encapsulator.Packet
	encoder *encapsulator.Encoder
	decoder *encapsulator.Decoder
}

// New returns a Forwarder that drops all datagrams until SetView gives it a view.
func New(c Config) *Forwarder {
	if c.PendingCapacity == 0 {
		c.PendingCapacity = defaultPendingCapacity
	}
	if c.Counters == nil {
		c.Counters = NewCounters()
	}
	return &Forwarder{
		self: c.Self, zone: c.AvailabilityZone, incarnation: c.Incarnation, placer: c.Placer, gate: c.Gate, random: c.Random, counters: c.Counters,
		capacity: c.PendingCapacity, pending: map[uint64]*pending{}, seed: c.Random.Uint64(),
		incarnations: map[netip.AddrPort]uint64{}, leaving: map[netip.AddrPort]time.Time{},
		drainUntil: map[netip.AddrPort]time.Time{}, once: map[uint64]onceAttempt{},
		encoder: encapsulator.NewEncoder(), decoder: encapsulator.NewDecoder(),
	}
}

// SetView replaces the settings and VM list in force. A view in which a settings document has an older revision is
// ignored.
func (f *Forwarder) SetView(now time.Time, v *view.View) error {
	if f.view != nil && v.Precedes(f.view) {
		return nil
	}
	if f.view == nil || v.Tree.Revision != f.revision {
		s, err := sealer.New(sealer.Config{Keys: v.Tree.Keys, SealKeyID: v.Tree.SealWith})
		if err != nil {
			return err
		}
		f.sealer = s
	}
	if f.view == nil {
		f.epoch = now
	}
	f.view, f.revision = v, v.Tree.Revision
	f.services = make(map[uint64]*settings.Service, len(v.Tree.Services))
	for i := range v.Tree.Services {
		f.services[v.Tree.Services[i].ID] = &v.Tree.Services[i]
	}
	f.placer.SetZoneDelays(f.zoneDelays())
	for _, s := range v.Tree.Services {
		f.setBackendServers(now, s)
	}
	f.forgetRemoved()
	return nil
}

// zoneDelays returns the delays to the other availability zones of the own region. The settings name none between regions.
func (f *Forwarder) zoneDelays() map[string]time.Duration {
	for _, r := range f.view.Tree.Regions {
		if !slices.Contains(r.Places, f.zone) || r.ZoneDelay == 0 {
			continue
		}
		delays := make(map[string]time.Duration, len(r.Places))
		for _, place := range r.Places {
			delays[place] = r.ZoneDelay
		}
		return delays
	}
	return nil
}

func (f *Forwarder) setBackendServers(now time.Time, s settings.Service) {
	servers := f.view.BackendServersOf(s.Name)
	list := make([]scheduler.BackendServer, 0, len(servers))
	for _, b := range servers {
		f.noteLeaving(now, b)
		list = append(list, scheduler.BackendServer{
			Address: b.Address, AvailabilityZone: b.AvailabilityZone, Group: b.Group, Slots: b.Tunables.Slots,
			Connections: b.Tunables.Connections, Leaving: b.Leaving, Weight: b.Tunables.Weight,
		})
	}
	f.placer.SetBackendServers(now, s.Name, list)
	t := f.view.TunablesAt(f.zone, s.Name)
	policy, err := scheduler.ParsePolicy(t.Policy)
	if err != nil {
		policy = nil // the settings validator refuses unknown names; the default policy serves in their place
	}
	f.placer.Configure(s.Name, scheduler.Tunables{
		Policy: policy, Limits: scheduler.Limits{RetryBudget: t.RetryBudget}, Health: scheduler.Health{SlowStart: t.SlowStart},
	})
}

func (f *Forwarder) noteLeaving(now time.Time, b settings.BackendServer) {
	if !b.Leaving {
		delete(f.leaving, b.Address)
		return
	}
	if _, ok := f.leaving[b.Address]; !ok {
		f.leaving[b.Address] = now
	}
}

// forgetRemoved drops what is held about backend servers that no longer stand in the settings.
func (f *Forwarder) forgetRemoved() {
	for address := range f.incarnations {
		if _, ok := f.view.BackendServerAt(address); !ok {
			delete(f.incarnations, address)
		}
	}
	for address := range f.leaving {
		if _, ok := f.view.BackendServerAt(address); !ok {
			delete(f.leaving, address)
		}
	}
}

// Stop refuses new reservations from now on. Work in progress and established flows go on.
func (f *Forwarder) Stop(now time.Time) {
	f.stopping = true
	f.gate.Stop(now)
}

// Hold places no new work until the given time or Release. Callers send their first packets again, and established
// flows go on.
func (f *Forwarder) Hold(until time.Time) { f.heldUntil = until }

// Release ends a Hold.
func (f *Forwarder) Release() { f.heldUntil = time.Time{} }

// Idle reports whether nothing that this process alone can finish is left.
func (f *Forwarder) Idle(now time.Time) bool {
	return f.gate.Idle(now) && !f.hasUnfinished()
}

// Revision returns the revision of the root document in force, 0 before the first.
func (f *Forwarder) Revision() uint64 { return f.revision }

// Incarnation returns the largest incarnation known of the backend server, 0 when none is.
func (f *Forwarder) Incarnation(server netip.AddrPort) uint64 { return f.incarnations[server] }

// PendingCount returns how many flows and requests are being set up.
func (f *Forwarder) PendingCount() int { return len(f.pending) }

// HandleHealth notes the incarnation and state that a backend server's health endpoint gave.
func (f *Forwarder) HandleHealth(now time.Time, server netip.AddrPort, incarnation uint64, draining bool) {
	f.noteIncarnation(server, incarnation)
	if draining {
		f.noteDraining(now, server)
	}
}

func (f *Forwarder) noteIncarnation(server netip.AddrPort, incarnation uint64) {
	if incarnation > f.incarnations[server] {
		f.incarnations[server] = incarnation
	}
}

// noteDraining marks a backend server as draining by its own word, which may come before the VM list says so.
func (f *Forwarder) noteDraining(now time.Time, server netip.AddrPort) {
	if _, ok := f.drainUntil[server]; !ok {
		if _, known := f.leaving[server]; !known {
			f.leaving[server] = now
		}
	}
	f.drainUntil[server] = now.Add(drainingHold)
}

// expireDraining forgets draining marks that only the backend server's own word supported.
func (f *Forwarder) expireDraining(now time.Time) {
	for server, until := range f.drainUntil {
		if now.Before(until) {
			continue
		}
		delete(f.drainUntil, server)
		if b, ok := f.view.BackendServerAt(server); !ok || !b.Leaving {
			delete(f.leaving, server)
		}
	}
}

func (f *Forwarder) count(i int) { f.counters.Add(i, 1) }
