package follower

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/encoder"
	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/fetcher"
	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/services/auditor"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// stalenessBound is the bound of both documents in tests.
const stalenessBound = 3 * time.Second

// evacuationBound is the bound on evacuations that deployments state.
const evacuationBound = 5 * time.Second

// fakePlatform is the platform that all daemons of a fleet read.
type fakePlatform struct {
	mu       sync.Mutex
	era      uint64
	revision uint64
	version  uint64
	// configRevision is the revision at which the platform stored the configuration.
	configRevision uint64
	routes         int
	servers        []directory.BackendServer
	evacuated      []string
	zoneChanges    []directory.EvacuationChange // of the present era
	changed        chan struct{}
	watchesSilent  bool          // watches do not report changes
	rejected       bool          // the configuration cannot be decoded
	historyLost    bool          // the changes since earlier revisions are no longer known
	reads          int           // of the backend list
	checks         int           // reads of the configuration alone
	watches        int           // calls that wait for a change
	refusals       int           // refused calls
	callTime       time.Duration // duration of each call
	callJitter     time.Duration // random part added to callTime
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{era: 1, revision: 1, configRevision: 1, version: 1, routes: 3, callTime: 4 * time.Millisecond, changed: make(chan struct{}), servers: []directory.BackendServer{newBackendServer(1), newBackendServer(2)}}
}

// platformCopy is the content of a fakePlatform at one time.
type platformCopy struct {
	revision, version, configRevision uint64
	routes                            int
	servers                           []directory.BackendServer
	evacuated                         []string
	zoneChanges                       []directory.EvacuationChange
}

func (p *fakePlatform) copy() platformCopy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return platformCopy{p.revision, p.version, p.configRevision, p.routes, slices.Clone(p.servers), slices.Clone(p.evacuated), slices.Clone(p.zoneChanges)}
}

// restore replaces the content by an earlier copy. Watches that are waiting hear nothing any more.
func (p *fakePlatform) restore(c platformCopy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.era++
	p.revision, p.version, p.configRevision, p.routes, p.servers = c.revision, c.version, c.configRevision, c.routes, c.servers
	p.evacuated, p.zoneChanges = c.evacuated, c.zoneChanges
	p.changed = make(chan struct{})
}

func (p *fakePlatform) callCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads + p.checks + p.refusals + p.watches
}

func (p *fakePlatform) position() directory.Position {
	return directory.Position{Era: p.era, Revision: p.revision}
}

func newBackendServer(id int) directory.BackendServer {
	return directory.BackendServer{
		ID: directory.ServerID(id), Service: "recipecard", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(id)}), 80),
		AvailabilityZone: "a", Slots: 2,
	}
}

func (p *fakePlatform) configuration() *directory.Configuration {
	c := &directory.Configuration{Version: p.version, StoredAt: directory.Position{Era: p.era, Revision: p.configRevision}, IdleTimeout: time.Second}
	for i := range p.routes {
		c.Routes = append(c.Routes, directory.Route{
			Name: fmt.Sprint("r", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443),
			Shares: []directory.Share{{Service: "recipecard", Weight: 1}},
		})
	}
	return c
}

// change applies a change to the platform and reports it to the watches, unless they are silent.
func (p *fakePlatform) change(apply func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	version := p.version
	apply()
	p.revision++
	if p.version != version {
		p.configRevision = p.revision
	}
	if !p.watchesSilent {
		close(p.changed)
		p.changed = make(chan struct{})
	}
}

// fakeSource is the connection of one daemon to the platform, which may refuse its calls.
type fakeSource struct {
	*fakePlatform
	mu               sync.Mutex
	refused          bool
	readsEvacuations bool // not in tests without evacuations
}

var errRefused = eris.Wrap(fetcher.ErrUnavailable, "status 503")

func (s *fakeSource) setRefused(refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = refused
}

// call waits for the duration of a call and reports whether the platform refuses it.
func (s *fakeSource) call() (refused bool) {
	s.fakePlatform.mu.Lock()
	callTime := s.callTime
	if s.callJitter > 0 {
		callTime += rand.N(s.callJitter)
	}
	s.fakePlatform.mu.Unlock()
	time.Sleep(callTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused {
		s.fakePlatform.mu.Lock()
		s.refusals++
		s.fakePlatform.mu.Unlock()
	}
	return s.refused
}

func (s *fakeSource) Configuration(context.Context) (*directory.Configuration, directory.Position, error) {
	if s.call() {
		return nil, directory.Position{}, errRefused
	}
	s.fakePlatform.mu.Lock()
	defer s.fakePlatform.mu.Unlock()
	s.checks++
	if s.rejected {
		return nil, s.position(), fetcher.ErrMalformed
	}
	return s.configuration(), s.position(), nil
}

func (s *fakeSource) AwaitConfiguration(ctx context.Context, after directory.Position, wait time.Duration) (Changes, error) {
	if s.call() {
		return Changes{}, errRefused
	}
	s.fakePlatform.mu.Lock()
	rejected, lost, now, changed, changes := s.rejected, s.historyLost, s.position(), s.changed, s.changesAfter(after.Revision)
	hasChanges := changes.Configuration != nil || len(changes.Evacuations) > 0
	if wait == 0 {
		s.checks++
	} else {
		s.watches++
	}
	s.fakePlatform.mu.Unlock()
	switch {
	case lost && after.Revision < now.Revision || after.Revision > now.Revision:
		return Changes{}, ErrHistoryLost
	case (hasChanges || wait == 0) && after.Era != now.Era:
		return Changes{}, ErrHistoryLost
	case hasChanges && rejected:
		return Changes{}, fetcher.ErrMalformed
	case hasChanges || wait == 0:
		return changes, nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
		s.fakePlatform.mu.Lock()
		defer s.fakePlatform.mu.Unlock()
		switch {
		case after.Era != s.era:
			return Changes{}, ErrHistoryLost
		case s.rejected:
			return Changes{}, fetcher.ErrMalformed
		}
		return s.changesAfter(after.Revision), nil
	case <-ctx.Done():
		return Changes{}, errRefused
	case <-timer.C:
		return Changes{Position: after}, nil
	}
}

func (s *fakeSource) Read(_ context.Context, known directory.Position) (Snapshot, error) {
	if s.call() {
		return Snapshot{}, errRefused
	}
	s.fakePlatform.mu.Lock()
	defer s.fakePlatform.mu.Unlock()
	s.reads++
	snapshot := Snapshot{
		BackendList:           &directory.BackendList{Position: s.position(), Servers: slices.Clone(s.servers)},
		ConfigurationPosition: directory.Position{Era: s.era, Revision: s.configRevision},
	}
	if s.readsEvacuations {
		snapshot.Evacuations = &directory.Evacuations{Position: s.position(), Zones: slices.Clone(s.evacuated)}
	}
	switch {
	case known == snapshot.ConfigurationPosition:
	case s.rejected:
		snapshot.ConfigurationError = fetcher.ErrMalformed
	default:
		snapshot.Configuration = s.configuration()
	}
	return snapshot, nil
}

// daemon is a Follower with its source. It records what the Follower's Sink puts in force, and is the Follower's Peers.
type daemon struct {
	*Follower
	fleet   *fleet
	source  *fakeSource
	address netip.AddrPort
	zone    string
	logs    *observer.ObservedLogs
	audit   *auditor.Auditor

	mu          sync.Mutex
	processes   int // started so far
	kill        func()
	restart     func()      // starts a new process after kill
	partitioned bool        // from all peers
	legacy      atomic.Bool // exchanges messages without eras, like daemons of earlier versions
	previous    bool        // like a daemon of the previous version: neither reads nor understands evacuated zones
	weak        bool
	linkRate    float64 // in bits per second; 0: no pacing
	versions    []uint64
	servers     int
	zones       []string // evacuated
	// zonesAtStart are those that were in force when the first backend list was.
	zonesAtStart []string
	findings     int
	sentBytes    int // to peers
}

// process is the Sink of one process of a daemon. It ignores what a process that was killed still passes to it.
type process struct {
	daemon *daemon
	number int
}

// record calls the function unless the process was killed.
func (p process) record(apply func(d *daemon)) {
	p.daemon.mu.Lock()
	defer p.daemon.mu.Unlock()
	if p.number == p.daemon.processes {
		apply(p.daemon)
	}
}

func (p process) SetConfiguration(c *directory.Configuration) {
	p.record(func(d *daemon) { d.versions = append(d.versions, c.Version) })
}

func (p process) SetBackendList(l *directory.BackendList) {
	p.record(func(d *daemon) {
		if d.servers == 0 {
			d.zonesAtStart = slices.Clone(d.zones)
		}
		d.servers = len(l.Servers)
	})
}

func (p process) SetEvacuations(zones []string, _ map[string]time.Time) {
	p.record(func(d *daemon) { d.zones = zones })
}

func (p process) AddFindings(f []steerer.Finding) {
	p.record(func(d *daemon) { d.findings += len(f) })
}

// start starts a new process of the daemon, whose predecessor must have been killed.
func (d *daemon) start(ctx context.Context, group *errgroup.Group, zones []string) {
	core, logs := observer.New(zap.InfoLevel)
	processCtx, cancel := context.WithCancel(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes++
	d.logs, d.kill, d.versions, d.servers, d.zones = logs, cancel, nil, 0, nil
	d.audit = auditor.New(auditor.Config{})
	d.restart = func() { d.start(ctx, group, zones) }
	f := New(Config{
		Source: d.source, Sink: process{d, d.processes}, Peers: d, Logger: zap.New(core), AvailabilityZone: d.zone, AvailabilityZones: zones,
		StalenessBounds: StalenessBounds{BackendList: stalenessBound, Configuration: stalenessBound, Evacuations: d.evacuationBound()}, Audit: d.audit, LinkRate: d.linkRate, Weak: d.weak,
	})
	d.Follower = f
	group.Go(func() error { return f.Run(processCtx) })
}

// evacuationBound returns the bound on evacuations, 0 if the daemon does not know them.
func (d *daemon) evacuationBound() time.Duration {
	if d.previous || !d.source.readsEvacuations {
		return 0
	}
	return evacuationBound
}

func (d *daemon) Address() netip.AddrPort { return d.address }

func (d *daemon) Members() []packer.Member {
	var list []packer.Member
	for _, o := range d.fleet.list() {
		if o != d && !o.isPartitioned() && !d.isPartitioned() {
			list = append(list, packer.Member{Address: o.address, AvailabilityZone: o.zone, KnowsEras: !o.legacy.Load() && !d.legacy.Load(), KnowsEvacuations: !o.previous, Weak: o.weak})
		}
	}
	return list
}

func (d *daemon) ZoneMembers() []netip.AddrPort {
	list := []netip.AddrPort{d.address}
	for _, m := range d.Members() {
		if m.AvailabilityZone == d.zone {
			list = append(list, m.Address)
		}
	}
	return list
}

func (d *daemon) isPartitioned() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.partitioned
}

func (d *daemon) setPartitioned(partitioned bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.partitioned = partitioned
}

func (d *daemon) Notify(to netip.AddrPort, payload []byte) bool {
	d.mu.Lock()
	d.sentBytes += len(payload)
	d.mu.Unlock()
	if d.fleet.observe != nil {
		d.fleet.observe(d, payload)
	}
	m, err := encoder.Decode(payload)
	d.fleet.checkForms(d, to, m)
	if err == nil {
		if _, ok := m.(*encoder.Request); ok {
			d.fleet.requests.Add(1)
		}
	}
	for _, o := range d.fleet.list() {
		if _, killed := d.fleet.killedAddresses.Load(to); killed {
			break
		}
		if o.address == to && !o.isPartitioned() && !d.isPartitioned() {
			delay, lost := 4*time.Millisecond, false
			if transit := d.fleet.transit.Load(); transit != nil {
				delay, lost = (*transit)()
			}
			if !lost {
				time.AfterFunc(delay, func() { o.handleNotice(d.address, payload) })
			}
		}
	}
	return true
}

// inForce returns the version of the configuration and the number of backend servers in force.
func (d *daemon) inForce() (version uint64, servers int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.versions) > 0 {
		version = d.versions[len(d.versions)-1]
	}
	return version, d.servers
}

// transit draws how long a message is on its way and whether it is lost.
type transit func() (delay time.Duration, lost bool)

// fleet is a set of daemons that share a platform.
type fleet struct {
	t *testing.T
	*fakePlatform
	daemons         []*daemon
	daemonsMu       sync.Mutex              // guards changes of daemons while they run
	requests        atomic.Int64            // messages that request a whole document
	transit         atomic.Pointer[transit] // of messages between daemons; nil: 4 ms, none lost
	observe         func(*daemon, []byte)   // is called for each message that a daemon sends; may be nil
	killedAddresses sync.Map                // of daemons that receive nothing, though the others still list them
}

// setRefused makes the platform refuse the calls of all daemons, or of none.
func (f *fleet) setRefused(refused bool) {
	for _, d := range f.daemons {
		d.source.setRefused(refused)
	}
}

// handleNotice passes a message to the process that runs now, if there is one.
func (d *daemon) handleNotice(from netip.AddrPort, payload []byte) {
	d.mu.Lock()
	f := d.Follower
	d.mu.Unlock()
	f.HandleNotice(from, payload)
}

// runFleet runs a fleet in simulated time until the test function returns. The test fails if the configuration of a daemon is
// replaced by an earlier one.
func runFleet(t *testing.T, perZone int, zones []string, test func(f *fleet)) {
	t.Helper()
	runFleetWith(t, perZone, zones, func(*daemon, int) {}, test)
}

// runFleetWith runs a fleet like runFleet. It calls prepare for each daemon before the start, with its index.
func runFleetWith(t *testing.T, perZone int, zones []string, prepare func(d *daemon, index int), test func(f *fleet)) {
	t.Helper()
	runPreparedFleet(t, perZone, zones, func(f *fleet) {
		for i, d := range f.daemons {
			prepare(d, i)
		}
	}, test)
}

// runPreparedFleet is runFleet with a function that prepares the fleet before its daemons start.
func runPreparedFleet(t *testing.T, perZone int, zones []string, prepare, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, fakePlatform: newFakePlatform()}
		for z, zone := range zones {
			for i := range perZone {
				d := &daemon{fleet: f, source: &fakeSource{fakePlatform: f.fakePlatform}, zone: zone, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), 0, byte(i + 1)}), 7400)}
				f.daemons = append(f.daemons, d)
			}
		}
		prepare(f)
		ctx, cancel := context.WithCancel(t.Context())
		group, ctx := errgroup.WithContext(ctx)
		for _, d := range f.daemons {
			d.start(ctx, group, zones)
		}
		time.Sleep(2 * time.Second)
		test(f)
		for _, d := range f.daemons {
			d.expectNoReturn(t)
		}
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Minute) // until messages in transit have arrived
	})
}

// expectNoReturn fails the test if the running process replaced its configuration by an earlier one.
func (d *daemon) expectNoReturn(t *testing.T) {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.IsSorted(d.versions) {
		t.Errorf("%s: version of the configuration in force decreased: %v", d.address, d.versions)
	}
}

var threeZones = []string{"souillac", "mahebourg", "bel-ombre"}

// expectInForce fails the test unless all daemons have the configuration version and the number of backend servers in force.
func (f *fleet) expectInForce(t *testing.T, version uint64, servers int) {
	t.Helper()
	for _, d := range f.daemons {
		if v, n := d.inForce(); v != version || n != servers {
			t.Errorf("%s: version %d and %d backend servers in force, want %d and %d", d.address, v, n, version, servers)
		}
	}
}
