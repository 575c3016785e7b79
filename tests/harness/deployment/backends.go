package deployment

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/platform"
	"github.com/bluebelldyke/bluebelldyke/platform/platformtest"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/direct"
)

// Backend is a backend server with its heartbeats.
type Backend struct {
	*direct.Backend
	server directory.BackendServer
	silent atomic.Bool
}

// AddBackend starts a backend server in an availability zone.
func (d *Deployment) AddBackend(service string, zone int) (*Backend, error) {
	d.mu.Lock()
	d.next++
	id := d.next
	d.mu.Unlock()
	address := map[string]netip.AddrPort{"ovenwatch": Ovenwatch, "recipecard": Recipecard}[service]
	b := &Backend{server: directory.BackendServer{
		ID: directory.ServerID(id*7919 + 1), Service: service, Address: d.at(kindBackend, zone, id, portBackend),
		AvailabilityZone: zoneName(zone), Slots: 2, Incarnation: time.Now().UnixMilli(),
	}}
	var err error
	b.Backend, err = direct.NewBackend(direct.BackendConfig{
		Server: b.server, Layout: platform.PacketLayout(), CallerPort: uint16(d.base + portEntry), ServiceTime: work, Violations: d.Violations,
		ServiceAddresses: map[netip.AddrPort]bool{address: true},
	})
	if err != nil {
		return nil, err
	}
	d.group.Go(func() error { return b.Run(d.ctx) })
	d.Store.SetServer(&b.server, 0)
	d.group.Go(func() error { return d.beat(d.ctx, b) })
	d.mu.Lock()
	d.backends = append(d.backends, b)
	d.mu.Unlock()
	return b, nil
}

func (d *Deployment) beat(ctx context.Context, b *Backend) error {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for sequence := 1; ; sequence++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if !b.silent.Load() {
				d.mu.Lock()
				server := b.server
				d.mu.Unlock()
				d.Store.SetServer(&server, sequence)
			}
		}
	}
}

// Backends returns the backend servers of a service that were started and not ended.
func (d *Deployment) Backends(service string) []*Backend {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*Backend
	for _, b := range d.backends {
		if b.server.Service == service {
			list = append(list, b)
		}
	}
	return list
}

// DuplicateRuns returns the requests that ran more than once, anywhere. Callers of this deployment send each request once.
func (d *Deployment) DuplicateRuns() map[uint64]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	runs, doubled := map[uint64]int{}, map[uint64]int{}
	for _, list := range [][]*Backend{d.backends, d.ended} {
		for _, b := range list {
			if b.server.Service != "ovenwatch" {
				continue // each service's callers number their requests
			}
			for id, n := range b.RunCounts() {
				if runs[id] += n; runs[id] > 1 {
					doubled[id] = runs[id]
				}
			}
		}
	}
	return doubled
}

// Drain lets a backend server leave: it keeps its flows and must get no new ones after the bound.
func (d *Deployment) Drain(b *Backend) {
	d.mu.Lock()
	b.server.Leaving = true
	server := b.server
	b.ForbidNewFlowsAfter(d.leavingBound())
	d.mu.Unlock()
	d.Store.SetServer(&server, 0)
}

// SetStoreFault makes the store fail, or heals it. While it turns daemons away they can't know of backend servers that leave, so
// that the bound of those begins anew when it answers again (soak seeds 231 and 242).
func (d *Deployment) SetStoreFault(f platformtest.Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Store.SetFault(f)
	d.failing = f != platformtest.NoFault
	for _, b := range d.backends {
		if b.server.Leaving {
			b.ForbidNewFlowsAfter(d.leavingBound())
		}
	}
}

// leavingBound returns the time from now on in which a leaving backend server may get new flows. The caller holds mu.
func (d *Deployment) leavingBound() time.Duration {
	if d.failing {
		return unbounded
	}
	return LeavingBound
}

// Crash ends a backend server: it is silent, and its entry lapses after three heartbeats. It returns the callers' addresses of the
// flows that were open there.
func (d *Deployment) Crash(b *Backend) map[netip.AddrPort]bool {
	b.silent.Store(true)
	open := b.Backend.Crash()
	d.mu.Lock()
	for i, x := range d.backends {
		if x == b {
			d.backends = append(d.backends[:i], d.backends[i+1:]...)
			d.ended = append(d.ended, b)
			break
		}
	}
	d.mu.Unlock()
	time.AfterFunc(3*heartbeat, func() { d.Store.RemoveServer(b.server.ID) })
	return open
}
