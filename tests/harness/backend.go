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
	Admin         netip.AddrPort

	number    int // last part of the IP
	vmLeaving bool
	leftAt    time.Time // when the settings or the VM list said that it leaves
	addedAt   time.Time
	ended     *admin.Ledger // taken before the harness ended the process
}

func (c *Cluster) startBackend(service string, zone int) (*Backend, error) {
	c.mu.Lock()
	k := c.number("backend", zone)
	c.mu.Unlock()
	return c.startBackendAt(service, zone, k)
}

func (c *Cluster) startBackendAt(service string, zone, k int) (*Backend, error) {
	i := slices.IndexFunc(c.config.Services, func(s ServiceConfig) bool { return s.Name == service })
	if i < 0 {
		return nil, eris.Errorf("the cluster has no service %s", service)
	}
	c.mu.Lock()
	seed := c.random.Uint64()
	c.mu.Unlock()
	ip := backendIP(zone, k)
	b := &Backend{
		Service: service, Zone: zone, Address: c.ports.at(ip, portBackend), HealthAddress: c.ports.at(ip, portBackendHealth),
		Admin: c.ports.at(ip, portBackendAdmin), addedAt: time.Now(), number: k,
	}
	args := append([]string{
		"-service", service, "-address", b.Address.String(), "-health", b.HealthAddress.String(), "-admin", b.Admin.String(),
		"-seed", strconv.FormatUint(seed, 10),
	}, c.config.Services[i].Args...)
	var err error
	if b.Process, err = c.run(fmt.Sprintf("%s-%d-%d", service, zone, k), "backend", args...); err != nil {
		return nil, err
	}
	if err := c.await(b.Process, func() bool { _, err := b.Ledger(); return err == nil }); err != nil {
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

// AddBackend starts a further backend server and publishes it.
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

// MarkLeavingInSettings publishes settings that say that a backend server is leaving. The backend server itself is not told.
func (c *Cluster) MarkLeavingInSettings(b *Backend) error {
	c.mu.Lock()
	b.leftAt = time.Now()
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

// DeclaredLeaving reports whether a document said that the backend server is leaving.
func (b *Backend) DeclaredLeaving() bool { return !b.leftAt.IsZero() }

// MarkLeavingInVMList publishes a VM list that says that a backend server is leaving.
func (c *Cluster) MarkLeavingInVMList(b *Backend) error {
	c.mu.Lock()
	b.vmLeaving, b.leftAt = true, time.Now()
	c.mu.Unlock()
	return c.publishVMs()
}

// Drain tells the backend server itself to refuse new work.
func (b *Backend) Drain() error { return admin.Post(b.Admin, "/admin/drain", admin.Drain{}) }

// Inject replaces the faults of the backend server.
func (b *Backend) Inject(f admin.BackendFaults) error { return admin.Post(b.Admin, "/admin/faults", f) }

// Ledger returns the record of the backend server.
func (b *Backend) Ledger() (*admin.Ledger, error) {
	if b.ended != nil {
		return b.ended, nil
	}
	l := new(admin.Ledger)
	return l, admin.Get(b.Admin, "/admin/ledger", l)
}

// SaveLedgerAndKill keeps the ledger of a backend server and kills it.
func (b *Backend) SaveLedgerAndKill() error {
	l, err := b.Ledger()
	if err != nil {
		return err
	}
	b.Kill()
	b.ended = l
	return nil
}

// ReassignBackend ends a backend server, starts one of another service at its address and publishes the change.
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
	moved, err := c.startBackendAt(service, b.Zone, b.number)
	if err != nil {
		return nil, err
	}
	if err := c.publishSettings(); err != nil {
		return nil, err
	}
	return moved, c.publishVMs()
}

// Ledgers returns the records of all backend servers.
func (c *Cluster) Ledgers() ([]*admin.Ledger, error) {
	var list []*admin.Ledger
	for _, b := range c.Backends("") {
		l, err := b.Ledger()
		if err != nil {
			return nil, eris.Wrapf(err, "ledger of %s", b.Name)
		}
		list = append(list, l)
	}
	return list, nil
}

// WorkAfterGrace describes the new work that a backend server began more than grace after it was declared leaving.
func (b *Backend) WorkAfterGrace(grace time.Duration) ([]string, error) {
	l, err := b.Ledger()
	if err != nil {
		return nil, err
	}
	limit := b.leftAt.Add(grace)
	var late []string
	for _, r := range l.Runs {
		if r.StartedAt.After(limit) {
			late = append(late, fmt.Sprintf("run of %s began %s after leaving", r.Key, r.StartedAt.Sub(b.leftAt)))
		}
	}
	for _, f := range l.Feeds {
		if f.OpenedAt.After(limit) {
			late = append(late, fmt.Sprintf("feed of %s opened %s after leaving", f.Topic, f.OpenedAt.Sub(b.leftAt)))
		}
	}
	return late, nil
}
