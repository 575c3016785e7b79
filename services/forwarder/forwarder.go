// Package forwarder makes the data path decisions of a balancer: it takes a received datagram and returns the datagrams to
// send. It has no sockets, goroutines or clock. Packets of established flows are forwarded by their token alone. State is
// kept only for each feed or idempotent request that is being set up (pendingCall) and for each attempt of a non-idempotent
// request (gateAttempt). Package gatekeeper runs non-idempotent requests at most once; the balancer process that a request's
// gate token names is the gate of the request.
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

// Defaults of Config.PendingCapacity and of the request timeout and token lifetime of a service without a value in the
// settings.
const (
	defaultPendingCapacity = 65536
	defaultRequestTimeout  = 5 * time.Second
	defaultTokenLifetime   = 10 * time.Second
)

// moveSpread is the time over which the move datagrams for the feeds of a leaving backend server are spread. If all feeds
// moved at once, their opens would reach the remaining backend servers in one burst.
const moveSpread = 2 * time.Second

// drainingMarkLifetime is how long a backend server counts as draining after it last reported that it drains, by a refusal with
// CauseDraining or in a health check.
const drainingMarkLifetime = 10 * time.Second

// Placer chooses backend servers for new work. scheduler.Scheduler implements it.
type Placer interface {
	SetBackendServers(now time.Time, service string, servers []scheduler.BackendServer)
	Configure(service string, t scheduler.Tunables)
	SetZoneDelays(delays map[string]time.Duration)
	Place(now time.Time, w scheduler.Work) (netip.AddrPort, error)
	Retry(now time.Time, w scheduler.Work) (netip.AddrPort, error)
	Observe(now time.Time, o scheduler.Observation)
}

// Config configures a Forwarder.
type Config struct {
	// Self is the peer address of this balancer, which the gate tokens that it issues name.
	Self netip.AddrPort
	// AvailabilityZone is the availability zone of this balancer. The settings of the place with this name give the tunables,
	// such as the request timeout, and the region that contains the place gives the delays to other zones.
	AvailabilityZone string
	// Incarnation is the start time of this process in Unix milliseconds.
	Incarnation uint64
	Placer      Placer
	Gate        *gatekeeper.Gatekeeper
	Random      *rand.Rand
	Counters    *counter.Set
	// PendingCapacity bounds the number of feeds and requests that are being set up; 0 means 65,536.
	PendingCapacity int
}

// Forwarder holds the state of the data path. It is not safe for concurrent use.
type Forwarder struct {
	self            netip.AddrPort
	zone            string
	incarnation     uint64
	placer          Placer
	gate            *gatekeeper.Gatekeeper
	random          *rand.Rand
	counters        *counter.Set
	pendingCapacity int

	view         *view.View
	sealer       *sealer.Sealer
	rootRevision uint64
	stopping     bool
	// placementPausedUntil is when a pause of placement ends. Placement is paused while the view may be stale.
	placementPausedUntil time.Time

	monotonicStart time.Time // the zero point of monotonic
	keySeed        uint64    // see pendingKey
	servicesByID   map[uint64]*settings.Service
	pending        map[uint64]*pendingCall      // by pendingKey
	dueQueue       expirer.Queue[*pendingCall]  // the pending calls by dueAt
	payloadBuffer  []byte                       // scratch space for the payload of a pending call
	incarnations   map[netip.AddrPort]uint64    // the highest known of each backend server
	leavingSince   map[netip.AddrPort]time.Time // of each leaving, draining or evacuated backend server
	drainingUntil  map[netip.AddrPort]time.Time // when the draining mark of a backend server expires

	evacuationSpread map[string]time.Duration // by service, see setEvacuationSpread

	holds map[string]*holdQueue // by service

	gateAttempts    map[uint64]gateAttempt // by attempt id
	gateActions     []gatekeeper.Action    // scratch space of tickGate
	gateHeldAt      time.Time              // when the request of the gate that is being handled first waited; zero if it never did
	forwardedByPeer bool                   // the datagram being handled was forwarded by another balancer

	inbound framer.Datagram     // the caller datagram being handled
	packet  encapsulator.Packet // the packet from or to a backend server being handled
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
		pendingCapacity: c.PendingCapacity, pending: map[uint64]*pendingCall{}, keySeed: c.Random.Uint64(),
		incarnations: map[netip.AddrPort]uint64{}, leavingSince: map[netip.AddrPort]time.Time{},
		drainingUntil: map[netip.AddrPort]time.Time{}, evacuationSpread: map[string]time.Duration{},
		holds: map[string]*holdQueue{}, gateAttempts: map[uint64]gateAttempt{},
		encoder: encapsulator.NewEncoder(), decoder: encapsulator.NewDecoder(),
	}
}

// SetView replaces the view, which holds the settings and the VM list in force. A view that has an older revision of a
// settings document than the current view is ignored.
func (f *Forwarder) SetView(now time.Time, v *view.View) error {
	if f.view != nil && v.HasOlderRevisionThan(f.view) {
		return nil
	}
	if f.view == nil || v.Tree.Revision != f.rootRevision {
		s, err := sealer.New(sealer.Config{Keys: v.Tree.TokenKeys, SealKeyID: v.Tree.SealingKeyID})
		if err != nil {
			return err
		}
		f.sealer = s
	}
	if f.view == nil {
		f.monotonicStart = now
	}
	f.view, f.rootRevision = v, v.Tree.Revision
	f.servicesByID = make(map[uint64]*settings.Service, len(v.Tree.Services))
	for i := range v.Tree.Services {
		f.servicesByID[v.Tree.Services[i].ID] = &v.Tree.Services[i]
	}
	f.placer.SetZoneDelays(f.zoneDelays())
	for _, s := range v.Tree.Services {
		f.setBackendServers(now, s)
	}
	f.pruneRemovedBackendServers()
	return nil
}

// zoneDelays returns the delays to the availability zones of the own region. The settings have no delays between regions.
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

// setBackendServers passes the backend servers and the tunables of a service to the placer.
func (f *Forwarder) setBackendServers(now time.Time, s settings.Service) {
	servers := f.view.BackendServersOf(s.Name)
	list := make([]scheduler.BackendServer, 0, len(servers))
	f.setEvacuationSpread(s.Name, servers)
	for _, b := range servers {
		f.recordLeaving(now, b)
		list = append(list, scheduler.BackendServer{
			Address: b.Address, AvailabilityZone: b.AvailabilityZone, Group: b.Group, Slots: b.Tunables.Slots,
			Connections: b.Tunables.Connections, Leaving: b.Leaving, Evacuated: b.Evacuated,
			Weight: b.Tunables.Weight,
		})
	}
	f.placer.SetBackendServers(now, s.Name, list)
	t := f.view.TunablesAt(f.zone, s.Name)
	f.configureHold(s.Name, t.TargetLatency)
	policy, err := scheduler.ParsePolicy(t.Policy)
	if err != nil {
		policy = nil // the default policy; this is not expected, because the settings validation rejects unknown names
	}
	f.placer.Configure(s.Name, scheduler.Tunables{
		Policy: policy, Limits: scheduler.Limits{RetryBudget: t.RetryBudget}, Health: scheduler.Health{SlowStart: t.SlowStart},
		Admission: scheduler.Admission{Priority: t.Priority, TargetLatency: t.TargetLatency, Timeout: t.RequestTimeout},
	})
}

// recordLeaving records since when the view has listed a backend server as leaving or evacuated.
func (f *Forwarder) recordLeaving(now time.Time, b settings.BackendServer) {
	if !f.movesFeeds(b) {
		delete(f.leavingSince, b.Address)
		return
	}
	if _, ok := f.leavingSince[b.Address]; !ok {
		f.leavingSince[b.Address] = now
	}
}

// pruneRemovedBackendServers deletes the state of backend servers that are no longer in the view.
func (f *Forwarder) pruneRemovedBackendServers() {
	for address := range f.incarnations {
		if _, ok := f.view.BackendServerAt(address); !ok {
			delete(f.incarnations, address)
		}
	}
	for address := range f.leavingSince {
		if _, ok := f.view.BackendServerAt(address); !ok {
			delete(f.leavingSince, address)
		}
	}
}

// Stop begins a graceful shutdown: new reservations are refused, work in progress and established flows continue.
func (f *Forwarder) Stop(now time.Time) {
	f.stopping = true
	f.gate.Stop(now)
}

// PausePlacement stops the placement of new work until the given time or ResumePlacement, because the view may be stale.
// First packets are dropped, and the callers' retransmissions are placed later. Established flows continue.
func (f *Forwarder) PausePlacement(until time.Time) { f.placementPausedUntil = until }

// ResumePlacement ends a pause that PausePlacement began.
func (f *Forwarder) ResumePlacement() { f.placementPausedUntil = time.Time{} }

// IsDrained reports whether no work is left that only this process can finish: the gate is drained, and no pending call waits
// for a reply of a backend server.
func (f *Forwarder) IsDrained(now time.Time) bool {
	return f.gate.IsDrained(now) && !f.hasUnansweredCalls()
}

// Revision returns the revision of the root settings document in the view, or 0 without a view.
func (f *Forwarder) Revision() uint64 { return f.rootRevision }

// Incarnation returns the highest incarnation that the backend server has reported, or 0 if it has reported none.
func (f *Forwarder) Incarnation(server netip.AddrPort) uint64 { return f.incarnations[server] }

// PendingCount returns the number of feeds and requests that are being set up, including those answered within
// answeredRetention.
func (f *Forwarder) PendingCount() int { return len(f.pending) }

// HandleHealth records the incarnation and the draining state that the health endpoint of a backend server returned.
func (f *Forwarder) HandleHealth(now time.Time, server netip.AddrPort, incarnation uint64, draining bool) {
	f.recordIncarnation(server, incarnation)
	if draining {
		f.recordDraining(now, server)
	}
}

// recordIncarnation records an incarnation of a backend server unless a higher one is known: a lower one is of an earlier
// process.
func (f *Forwarder) recordIncarnation(server netip.AddrPort, incarnation uint64) {
	if incarnation > f.incarnations[server] {
		f.incarnations[server] = incarnation
	}
}

// recordDraining marks a backend server as draining because it reported that itself. The report may arrive before the settings
// or the VM list mark the backend server as leaving.
func (f *Forwarder) recordDraining(now time.Time, server netip.AddrPort) {
	if _, ok := f.drainingUntil[server]; !ok {
		if _, known := f.leavingSince[server]; !known {
			f.leavingSince[server] = now
		}
	}
	f.drainingUntil[server] = now.Add(drainingMarkLifetime)
}

// expireDraining removes draining marks that have expired. A backend server that the view lists as leaving or evacuated stays
// marked as leaving.
func (f *Forwarder) expireDraining(now time.Time) {
	for server, until := range f.drainingUntil {
		if now.Before(until) {
			continue
		}
		delete(f.drainingUntil, server)
		if b, ok := f.view.BackendServerAt(server); !ok || !f.movesFeeds(b) {
			delete(f.leavingSince, server)
		}
	}
}

func (f *Forwarder) count(i int) { f.counters.Add(i, 1) }
