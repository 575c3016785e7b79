package forwarder

import (
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/settings"
)

// maxEvacuationSpread bounds the time over which the move datagrams for the feeds of an evacuated place are spread, so that
// the place is empty soon after.
const maxEvacuationSpread = 20 * time.Second

// setEvacuationSpread sets the time over which the move datagrams of the evacuated backend servers of a service are spread:
// moveSpread for each of them, because the feeds of all of them move at the same time and the remaining backend servers would
// otherwise get a burst of opens. It is 0 if no backend server takes new work. The callers then get no move datagrams, and
// their feeds stay where they are.
func (f *Forwarder) setEvacuationSpread(service string, servers []settings.BackendServer) {
	evacuated, takesNewWork := 0, false
	for i := range servers {
		takesNewWork = takesNewWork || servers[i].TakesNewWork()
		if servers[i].Evacuated {
			evacuated++
		}
	}
	delete(f.evacuationSpread, service)
	if takesNewWork && evacuated > 0 {
		f.evacuationSpread[service] = min(time.Duration(evacuated)*moveSpread, maxEvacuationSpread)
	}
}

// movesFeeds reports whether the view asks for the feeds of the backend server to move to others.
func (f *Forwarder) movesFeeds(b settings.BackendServer) bool {
	return b.Leaving || b.Evacuated && f.evacuationSpread[b.Service] > 0
}

// moveSpreadOf returns the time over which the move datagrams for the feeds of a backend server are spread.
func (f *Forwarder) moveSpreadOf(b settings.BackendServer) time.Duration {
	_, draining := f.drainingUntil[b.Address]
	if spread := f.evacuationSpread[b.Service]; b.Evacuated && !b.Leaving && !draining && spread > 0 {
		return spread
	}
	return moveSpread
}
