package harness

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
)

// Backend is one backend server process.
type Backend struct {
	*Process
	Service       string
	Zone          int
	Address       netip.AddrPort
	HealthAddress netip.AddrPort
	Admin         netip.AddrPort // address of the admin API

	hostNumber        int       // last byte of the IP address
	vmLeaving         bool      // whether the VM list declares it leaving
	declaredLeavingAt time.Time // when the settings or the VM list declared it leaving
	addedAt           time.Time
	finalLedger       *admin.Ledger // read before the harness killed the process
}

func (c *Cluster) startBackend(service string, zone int) (*Backend, error) {
	c.mu.Lock()
	hostNumber := c.nextHostNumber("backend", zone)
	c.mu.Unlock()
	return c.startBackendAt(service, zone, hostNumber)
}

func (c *Cluster) startBackendAt(service string, zone, hostNumber int) (*Backend, error) {
	i := slices.IndexFunc(c.config.Services, func(s ServiceConfig) bool { return s.Name == service })
	if i < 0 {
		return nil, eris.Errorf("the cluster has no service %s: add it to Config.Services", service)
	}
	c.mu.Lock()
	seed := c.random.Uint64()
	c.mu.Unlock()
	ip := backendIP(zone, hostNumber)
	b := &Backend{
		Service: service, Zone: zone, Address: c.ports.address(ip, portBackend), HealthAddress: c.ports.address(ip, portBackendHealth),
		Admin: c.ports.address(ip, portBackendAdmin), addedAt: time.Now(), hostNumber: hostNumber,
	}
	args := append([]string{
		"-service", service, "-address", b.Address.String(), "-health", b.HealthAddress.String(), "-admin", b.Admin.String(),
		"-seed", strconv.FormatUint(seed, 10),
	}, c.config.Services[i].Args...)
	var err error
	if b.Process, err = c.startProcess(fmt.Sprintf("%s-%d-%d", service, zone, hostNumber), "backend", args...); err != nil {
		return nil, err
	}
	if err := c.awaitStart(b.Process, func() bool { _, err := b.Ledger(); return err == nil }); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backends = append(c.backends, b)
	c.tree.addBackendServer(Place(zone), service, TreeBackendServer{
		Name: b.Name, Address: b.Address.String(), Health: b.HealthAddress.String(),
	})
	return b, nil
}

// Backends returns the backend servers of a service, or of all services for "".
func (c *Cluster) Backends(service string) []*Backend {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*Backend
	for _, b := range c.backends {
		if service == "" || b.Service == service {
			list = append(list, b)
		}
	}
	return list
}

// AddBackend starts another backend server and publishes the settings and the VM list with it.
func (c *Cluster) AddBackend(service string, zone int) (*Backend, error) {
	b, err := c.startBackend(service, zone)
	if err != nil {
		return nil, err
	}
	if err := c.publishSettings(); err != nil {
		return nil, err
	}
	return b, c.publishVMs()
}

// MarkLeavingInSettings publishes settings in which a backend server is leaving. The backend server itself is not notified.
func (c *Cluster) MarkLeavingInSettings(b *Backend) error {
	c.mu.Lock()
	b.declaredLeavingAt = time.Now()
	c.mu.Unlock()
	_, err := c.EditSettings(func(t *Tree) {
		t.EditGroups(Place(b.Zone), b.Service, func(list []TreeBackendServer) []TreeBackendServer {
			for i := range list {
				if list[i].Address == b.Address.String() {
					list[i].State = "leaving"
				}
			}
			return list
		})
	})
	return err
}

// DeclaredLeaving reports whether the settings or the VM list declared the backend server leaving.
func (b *Backend) DeclaredLeaving() bool { return !b.declaredLeavingAt.IsZero() }

// MarkLeavingInVMList publishes a VM list in which a backend server is leaving.
func (c *Cluster) MarkLeavingInVMList(b *Backend) error {
	c.mu.Lock()
	b.vmLeaving, b.declaredLeavingAt = true, time.Now()
	c.mu.Unlock()
	return c.publishVMs()
}

// Drain makes the backend server itself refuse new work. No document changes.
func (b *Backend) Drain() error { return admin.Post(b.Admin, "/admin/drain", admin.Drain{}) }

// Inject replaces the faults of the backend server.
func (b *Backend) Inject(f admin.BackendFaults) error { return admin.Post(b.Admin, "/admin/faults", f) }

// Ledger returns the ledger of the backend server; after SaveLedgerAndKill, the saved one.
func (b *Backend) Ledger() (*admin.Ledger, error) {
	if b.finalLedger != nil {
		return b.finalLedger, nil
	}
	l := new(admin.Ledger)
	return l, admin.Get(b.Admin, "/admin/ledger", l)
}

// SaveLedgerAndKill reads the ledger of a backend server, so that Ledger still returns it, and kills the process.
func (b *Backend) SaveLedgerAndKill() error {
	l, err := b.Ledger()
	if err != nil {
		return err
	}
	b.Kill()
	b.finalLedger = l
	return nil
}

// ReassignBackend kills a backend server, starts one of another service at its address and publishes the change.
func (c *Cluster) ReassignBackend(b *Backend, service string) (*Backend, error) {
	if err := b.SaveLedgerAndKill(); err != nil {
		return nil, err
	}
	if _, err := b.WaitExit(startTimeout); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.tree.EditGroups(Place(b.Zone), b.Service, func(list []TreeBackendServer) []TreeBackendServer {
		return slices.DeleteFunc(list, func(e TreeBackendServer) bool { return e.Address == b.Address.String() })
	})
	c.mu.Unlock()
	moved, err := c.startBackendAt(service, b.Zone, b.hostNumber)
	if err != nil {
		return nil, err
	}
	if err := c.publishSettings(); err != nil {
		return nil, err
	}
	return moved, c.publishVMs()
}

// Ledgers returns the ledgers of all backend servers.
func (c *Cluster) Ledgers() ([]*admin.Ledger, error) {
	var list []*admin.Ledger
	for _, b := range c.Backends("") {
		l, err := b.Ledger()
		if err != nil {
			return nil, eris.Wrapf(err, "read the ledger of %s", b.Name)
		}
		list = append(list, l)
	}
	return list, nil
}

// WorkAfterGrace describes the runs and feeds that a backend server began more than grace after it was declared leaving.
func (b *Backend) WorkAfterGrace(grace time.Duration) ([]string, error) {
	l, err := b.Ledger()
	if err != nil {
		return nil, err
	}
	limit := b.declaredLeavingAt.Add(grace)
	var late []string
	for _, r := range l.Runs {
		if r.StartedAt.After(limit) {
			late = append(late, fmt.Sprintf("run of %s began %s after leaving", r.Key, r.StartedAt.Sub(b.declaredLeavingAt)))
		}
	}
	for _, f := range l.Feeds {
		if f.OpenedAt.After(limit) {
			late = append(late, fmt.Sprintf("feed of %s opened %s after leaving", f.Topic, f.OpenedAt.Sub(b.declaredLeavingAt)))
		}
	}
	return late, nil
}
