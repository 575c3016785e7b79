package follower

import (
	"context"
	"fmt"
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

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/fetcher"
	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

const bound = 3 * time.Second

// store is the platform as all daemons of a fleet read it.
type store struct {
	mu       sync.Mutex
	revision uint64
	version  uint64
	// configRevision is the platform's revision of the configuration.
	configRevision uint64
	routes         int
	servers        []directory.BackendServer
	changed        chan struct{}
	silent         bool // watches hear nothing
	lost           bool // no history
	reads          int
	checks         int
	refusals       int
	takes          time.Duration // a call
}

func newStore() *store {
	return &store{revision: 1, configRevision: 1, version: 1, routes: 3, takes: 4 * time.Millisecond, changed: make(chan struct{}), servers: []directory.BackendServer{backend(1), backend(2)}}
}

func backend(id int) directory.BackendServer {
	return directory.BackendServer{
		ID: directory.ServerID(id), Service: "recipecard", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(id)}), 80),
		AvailabilityZone: "a", Slots: 2,
	}
}

func (s *store) configuration() *directory.Configuration {
	c := &directory.Configuration{Version: s.version, IdleTimeout: time.Second}
	for i := range s.routes {
		c.Routes = append(c.Routes, directory.Route{
			Name: fmt.Sprint("r", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443),
			Shares: []directory.Share{{Service: "recipecard", Weight: 1}},
		})
	}
	return c
}

// change applies a change and tells the watches, unless they are silent.

func (s *store) change(apply func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := s.version
	apply()
	s.revision++
	if s.version != version {
		s.configRevision = s.revision
	}
	if !s.silent {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// view is the platform as one daemon sees it.
type view struct {
	*store
	mu      sync.Mutex
	refused bool
}

var errRefused = eris.Wrap(fetcher.ErrUnavailable, "status 503")

func (v *view) refuse(refused bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refused = refused
}

// call takes the time of a call and reports whether it is turned away.
func (v *view) call() (refused bool) {
	v.store.mu.Lock()
	takes := v.takes
	v.store.mu.Unlock()
	time.Sleep(takes)
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.refused {
		v.store.mu.Lock()
		v.refusals++
		v.store.mu.Unlock()
	}
	return v.refused
}

func (v *view) Configuration(context.Context) (*directory.Configuration, uint64, error) {
	if v.call() {
		return nil, 0, errRefused
	}
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	v.checks++
	return v.configuration(), v.revision, nil
}

func (v *view) AwaitConfiguration(ctx context.Context, after uint64, wait time.Duration) (*directory.Configuration, uint64, error) {
	if v.call() {
		return nil, 0, errRefused
	}
	v.store.mu.Lock()
	lost, revision, changed := v.lost, v.revision, v.changed
	if wait == 0 {
		v.checks++
	}
	v.store.mu.Unlock()
	switch {
	case lost && after < revision:
		return nil, 0, ErrHistoryLost
	case after < revision:
		v.store.mu.Lock()
		defer v.store.mu.Unlock()
		return v.configuration(), v.revision, nil
	case wait == 0:
		return nil, revision, nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
		v.store.mu.Lock()
		defer v.store.mu.Unlock()
		return v.configuration(), v.revision, nil
	case <-ctx.Done():
		return nil, 0, errRefused
	case <-timer.C:
		return nil, after, nil
	}
}

func (v *view) Read(_ context.Context, known uint64) (Snapshot, error) {
	if v.call() {
		return Snapshot{}, errRefused
	}
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	v.reads++
	s := Snapshot{Listing: &directory.BackendList{Revision: v.revision, Servers: slices.Clone(v.servers)}, ConfigurationRevision: v.configRevision}
	if known != v.configRevision {
		s.Configuration = v.configuration()
	}
	return s, nil
}

// daemon is a Follower with its view of the platform, its peers and what it put in force.
type daemon struct {
	*Follower
	fleet   *fleet
	view    *view
	address netip.AddrPort
	zone    string
	lines   *observer.ObservedLogs

	mu       sync.Mutex
	cut      bool // from all peers
	versions []uint64
	servers  int
	findings int
	sent     int // bytes to peers
}

func (d *daemon) SetConfiguration(c *directory.Configuration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions = append(d.versions, c.Version)
}

func (d *daemon) SetListing(l *directory.BackendList) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers = len(l.Servers)
}

func (d *daemon) AddFindings(f []steerer.Finding) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.findings += len(f)
}

func (d *daemon) Address() netip.AddrPort { return d.address }

func (d *daemon) Members() []packer.Member {
	var list []packer.Member
	for _, o := range d.fleet.daemons {
		if o != d && !o.isCut() && !d.isCut() {
			list = append(list, packer.Member{Address: o.address, AvailabilityZone: o.zone})
		}
	}
	return list
}

func (d *daemon) Zone() []netip.AddrPort {
	list := []netip.AddrPort{d.address}
	for _, m := range d.Members() {
		if m.AvailabilityZone == d.zone {
			list = append(list, m.Address)
		}
	}
	return list
}

func (d *daemon) isCut() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cut
}

func (d *daemon) setCut(cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut = cut
}

func (d *daemon) Notify(to netip.AddrPort, payload []byte) bool {
	d.mu.Lock()
	d.sent += len(payload)
	d.mu.Unlock()
	if m, err := decode(payload); err == nil {
		if _, ok := m.(*request); ok {
			d.fleet.requests.Add(1)
		}
	}
	for _, o := range d.fleet.daemons {
		if _, killed := d.fleet.killed.Load(to); killed {
			break
		}
		if o.address == to && !o.isCut() && !d.isCut() {
			time.AfterFunc(4*time.Millisecond, func() { o.Notified(d.address, payload) })
		}
	}
	return true
}

// state returns what is in force: the newest version and the number of backend servers.
func (d *daemon) state() (version uint64, servers int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.versions) > 0 {
		version = d.versions[len(d.versions)-1]
	}
	return version, d.servers
}

type fleet struct {
	*store
	daemons  []*daemon
	requests atomic.Int64 // for whole documents
	killed   sync.Map     // addresses of daemons that hear nothing, though the others still list them
}

// refuse makes the platform turn away all daemons, or none.
func (f *fleet) refuse(refused bool) {
	for _, d := range f.daemons {
		d.view.refuse(refused)
	}
}

// run runs a fleet in simulated time until the test function returns.
func run(t *testing.T, perZone int, zones []string, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{store: newStore()}
		for z, zone := range zones {
			for i := range perZone {
				d := &daemon{fleet: f, view: &view{store: f.store}, zone: zone, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), 0, byte(i + 1)}), 7400)}
				core, lines := observer.New(zap.InfoLevel)
				d.lines = lines
				d.Follower = New(Config{
					Source: d.view, Sink: d, Peers: d, Logger: zap.New(core), AvailabilityZone: zone, Zones: zones,
					Bounds: Bounds{Leaving: bound, Configuration: bound},
				})
				f.daemons = append(f.daemons, d)
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		group, ctx := errgroup.WithContext(ctx)
		for _, d := range f.daemons {
			group.Go(func() error { return d.Run(ctx) })
		}
		time.Sleep(2 * time.Second)
		test(f)
		for _, d := range f.daemons {
			if !slices.IsSorted(d.versions) {
				t.Errorf("versions in force went back: %v", d.versions)
			}
		}
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Minute) // messages on their way
	})
}

var threeZones = []string{"souillac", "mahebourg", "bel-ombre"}

// expect fails unless all daemons have the version and the number of backend servers in force.
func (f *fleet) expect(t *testing.T, version uint64, servers int) {
	t.Helper()
	for _, d := range f.daemons {
		if v, n := d.state(); v != version || n != servers {
			t.Errorf("%s: version %d and %d backend servers in force, want %d and %d", d.address, v, n, version, servers)
		}
	}
}
