package deployment

import (
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
)

// Evacuate evacuates an availability zone: from EvacuationBound on, each opening packet at a backend server there is a violation.
func (d *Deployment) Evacuate(zone int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evacuated[zone] = true
	d.Store.SetEvacuated(zoneName(zone), true)
	for _, b := range d.backends {
		if b.zone == zone {
			b.ForbidOpeningPacketsAfter(d.timeForOpenings())
		}
	}
}

// Revoke revokes the evacuation of an availability zone. Its backend servers then warm up, as their entries state from their next
// heartbeat on.
func (d *Deployment) Revoke(zone int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evacuated[zone] = false
	for _, b := range d.backends {
		if b.zone == zone {
			b.AllowOpeningPackets()
			b.coldUntil = time.Now().Add(WarmUp)
		}
	}
	d.Store.SetEvacuated(zoneName(zone), false)
}

// ZoneBackends returns the backend servers of both services in an availability zone that have not crashed.
func (d *Deployment) ZoneBackends(zone int) []*Backend {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*Backend
	for _, b := range d.backends {
		if b.zone == zone {
			list = append(list, b)
		}
	}
	return list
}

// entry returns the entry of the backend server at this time. The caller holds mu of the deployment.
func (b *Backend) entry() directory.BackendServer {
	server := b.server
	server.RemainingWarmUp = max(time.Until(b.coldUntil), 0)
	return server
}

// timeForOpenings returns how long from now a backend server in an evacuated zone may still get opening packets. The caller holds mu.
func (d *Deployment) timeForOpenings() time.Duration {
	if d.storeFailing || d.config.Share > 0 {
		return noBound
	}
	return EvacuationBound
}
