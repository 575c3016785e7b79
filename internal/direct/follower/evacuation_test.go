package follower

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/encoder"
	"github.com/bluebelldyke/bluebelldyke/models/directory"
)

// runEvacuationFleet runs a fleet whose deployment has evacuations. Daemons for whose index isPrevious is true are of the previous version.
func runEvacuationFleet(t *testing.T, perZone int, isPrevious func(index int) bool, test func(f *fleet)) {
	t.Helper()
	runFleetWith(t, perZone, threeZones, func(d *daemon, index int) {
		d.previous = isPrevious(index)
		d.source.readsEvacuations = !d.previous
	}, test)
}

func none(int) bool { return false }

// checkForms fails the test if a daemon sends evacuated zones to one that does not advertise that it understands them, or if it has none.
func (f *fleet) checkForms(from *daemon, to netip.AddrPort, m any) {
	payload := m
	if r, ok := m.(*encoder.Relay); ok {
		payload, _ = encoder.Decode(r.Payload)
	}
	a, ok := payload.(*encoder.Announcement)
	if !ok || a.Evacuations == nil {
		return
	}
	if from.evacuationBound() == 0 {
		f.t.Errorf("%s, which has no evacuations, sends evacuated zones", from.address)
	}
	for _, d := range f.daemons {
		if d.address == to && d.previous {
			f.t.Errorf("evacuated zones are sent to %s of the previous version", to)
		}
	}
}

// expectEvacuated fails the test unless all daemons of this version have the evacuated zones in force.
func (f *fleet) expectEvacuated(t *testing.T, zones ...string) {
	t.Helper()
	for _, d := range f.daemons {
		d.mu.Lock()
		if !d.previous && !slices.Equal(d.zones, zones) {
			t.Errorf("%s: evacuated zones %v in force, want %v", d.address, d.zones, zones)
		}
		d.mu.Unlock()
	}
}

// TestEvacuationReachesAll guards against an evacuation or its revocation that waits for the next read: watchers announce both at once.
func TestEvacuationReachesAll(t *testing.T) {
	runEvacuationFleet(t, 10, none, func(f *fleet) {
		f.setEvacuated("mahebourg", true)
		time.Sleep(300 * time.Millisecond)
		f.expectEvacuated(t, "mahebourg")
		f.setEvacuated("souillac", true)
		f.setEvacuated("mahebourg", false)
		time.Sleep(300 * time.Millisecond)
		f.expectEvacuated(t, "souillac")
	})
}

// TestEvacuationWithSilentWatches guards against an evacuation that is not in force within its bound because watches report nothing.
func TestEvacuationWithSilentWatches(t *testing.T) {
	runEvacuationFleet(t, 5, none, func(f *fleet) {
		f.fakePlatform.mu.Lock()
		f.watchesSilent = true
		f.fakePlatform.mu.Unlock()
		f.setEvacuated("mahebourg", true)
		time.Sleep(stalenessBound - 500*time.Millisecond)
		f.expectEvacuated(t, "mahebourg")
		f.setEvacuated("mahebourg", false)
		time.Sleep(stalenessBound - 500*time.Millisecond)
		f.expectEvacuated(t)
	})
}

// TestEvacuationInMixedFleet guards against new daemons that miss the bound because the daemons of the previous version read for them, and
// against messages with evacuated zones to those.
func TestEvacuationInMixedFleet(t *testing.T) {
	for name, isPrevious := range map[string]func(int) bool{
		"one new daemon":      func(i int) bool { return i != 7 },
		"one previous daemon": func(i int) bool { return i == 0 },
		"half":                func(i int) bool { return i%2 == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			runEvacuationFleet(t, 5, isPrevious, func(f *fleet) {
				for _, silent := range []bool{false, true} {
					f.fakePlatform.mu.Lock()
					f.watchesSilent = silent
					f.fakePlatform.mu.Unlock()
					f.setEvacuated("mahebourg", true)
					time.Sleep(evacuationBound - 500*time.Millisecond)
					f.expectEvacuated(t, "mahebourg")
					f.setEvacuated("mahebourg", false)
					time.Sleep(evacuationBound - 500*time.Millisecond)
					f.expectEvacuated(t)
				}
			})
		})
	}
}

// TestEvacuationInOutage guards against daemons that forget the evacuated zones while the platform is down, also those that start then.
func TestEvacuationInOutage(t *testing.T) {
	runEvacuationFleet(t, 5, none, func(f *fleet) {
		f.setEvacuated("mahebourg", true)
		time.Sleep(300 * time.Millisecond)
		f.setRefused(true)
		time.Sleep(2 * evacuationBound)
		f.expectEvacuated(t, "mahebourg")
		for _, d := range f.daemons[:3] {
			d.kill()
			d.restart()
		}
		time.Sleep(2 * time.Second)
		f.expectEvacuated(t, "mahebourg")
	})
}

// TestEvacuationInPartition guards against a partitioned daemon that keeps new flows away from a zone, or sends them there, for longer
// than the bound although it can read the platform.
func TestEvacuationInPartition(t *testing.T) {
	runEvacuationFleet(t, 5, none, func(f *fleet) {
		f.daemons[3].setPartitioned(true)
		f.setEvacuated("mahebourg", true)
		time.Sleep(evacuationBound - 500*time.Millisecond)
		f.expectEvacuated(t, "mahebourg")
		f.setEvacuated("mahebourg", false)
		time.Sleep(evacuationBound - 500*time.Millisecond)
		f.expectEvacuated(t)
	})
}

// TestStartDuringEvacuation guards against a daemon that opens flows in an evacuated zone after its start.
func TestStartDuringEvacuation(t *testing.T) {
	runEvacuationFleet(t, 5, none, func(f *fleet) {
		f.setEvacuated("mahebourg", true)
		time.Sleep(time.Second)
		for _, d := range f.daemons {
			d.kill()
		}
		for _, d := range f.daemons {
			d.restart()
		}
		time.Sleep(100 * time.Millisecond)
		f.expectEvacuated(t, "mahebourg")
	})
}

// TestEvacuationAfterRestore guards against new flows in a zone whose evacuation was lost in a restore, before the operator wrote it
// again, and against a zone that stays evacuated for good although it was not.
func TestEvacuationAfterRestore(t *testing.T) {
	runEvacuationFleet(t, 5, none, func(f *fleet) {
		older := f.copy()
		f.setEvacuated("mahebourg", true)
		f.setEvacuated("souillac", true)
		time.Sleep(time.Second)
		f.restore(older)
		time.Sleep(stalenessBound)
		f.setEvacuated("souillac", true)
		time.Sleep(time.Second)
		f.expectEvacuated(t, "mahebourg", "souillac")
		time.Sleep(2 * evacuationBound)
		f.expectEvacuated(t, "souillac")
	})
}

// TestEvacuationCalls guards against calls to the platform that evacuations cause in addition.
func TestEvacuationCalls(t *testing.T) {
	calls := func(prepare func(d *daemon, index int)) (n int) {
		runFleetWith(t, 10, threeZones, prepare, func(f *fleet) {
			time.Sleep(time.Minute)
			f.setEvacuated("mahebourg", true)
			for _, d := range f.daemons[:3] {
				d.kill()
				d.restart()
			}
			time.Sleep(time.Minute)
			n = f.callCount()
		})
		return n
	}
	without := calls(func(*daemon, int) {})
	with := calls(func(d *daemon, _ int) { d.source.readsEvacuations = true })
	t.Logf("%d calls without evacuations, %d with them", without, with)
	// A restarted daemon may become one of the first readers, so counts differ by a few calls between runs.
	if with > without+without/20 {
		t.Errorf("%d calls with evacuations, %d without", with, without)
	}
}

// TestChangeDuringRead guards against a further read of the platform because a watch has reported a change while a read was under way, and
// against a read that is taken for a current one although its answer is older than the set that was known when it started.
func TestChangeDuringRead(t *testing.T) {
	runEvacuationFleet(t, 1, none, func(f *fleet) {
		follower := f.daemons[0].Follower
		follower.mu.Lock()
		defer follower.mu.Unlock()
		now := time.Now()
		before := follower.evacuationPosition()
		follower.evacuations.Apply(now, now.Add(-time.Minute), before, nil, directory.Position{Era: before.Era, Revision: before.Revision + 2})
		set := &directory.Evacuations{Position: directory.Position{Era: before.Era, Revision: before.Revision + 1}}
		if !follower.replaceEvacuations(now, set, before) {
			t.Error("a read is repeated because of a change that a watch has reported meanwhile")
		}
		set.Position.Revision--
		if follower.replaceEvacuations(now.Add(time.Second), set, follower.evacuationPosition()) {
			t.Error("a stale answer is taken for a current one")
		}
	})
}

// TestZonesPrecedeList guards against a daemon that is ready, with the backend list of a peer of the previous version, before it knows the
// evacuated zones, and against one that never becomes ready while the platform does not answer.
func TestZonesPrecedeList(t *testing.T) {
	runEvacuationFleet(t, 3, func(i int) bool { return i != 0 }, func(f *fleet) {
		f.setEvacuated("mahebourg", true)
		time.Sleep(time.Second)
		d := f.daemons[0]
		d.kill()
		d.restart()
		time.Sleep(time.Second)
		d.mu.Lock()
		if !slices.Equal(d.zonesAtStart, []string{"mahebourg"}) {
			t.Errorf("evacuated zones %v when the first backend list was in force", d.zonesAtStart)
		}
		d.mu.Unlock()
		f.fakePlatform.mu.Lock()
		f.callTime = 10 * time.Second
		f.fakePlatform.mu.Unlock()
		d.kill()
		d.restart()
		time.Sleep(time.Second)
		if _, servers := d.inForce(); servers != 2 {
			t.Errorf("%d backend servers in force while the platform does not answer", servers)
		}
	})
}

// TestExtendedExpiry guards against a zone that stays evacuated for good, because a peer extended the time after a restore for which it
// does and the platform does not answer afterwards.
func TestExtendedExpiry(t *testing.T) {
	runEvacuationFleet(t, 1, none, func(f *fleet) {
		f.fakePlatform.mu.Lock()
		f.callTime = time.Minute
		f.fakePlatform.mu.Unlock()
		for _, d := range f.daemons {
			d.mu.Lock()
			d.partitioned = true
			d.mu.Unlock()
		}
		time.Sleep(time.Second)
		d := f.daemons[0]
		d.Follower.mu.Lock()
		s := *d.evacuationSnapshot()
		for _, left := range []time.Duration{time.Second, 2 * time.Second} {
			s.Lost = map[string]time.Duration{"mahebourg": left}
			d.mergeEvacuations(&s)
		}
		d.Follower.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
		f.setDaemons(f.daemons[:1])
		f.expectEvacuated(t, "mahebourg")
		time.Sleep(time.Second)
		f.expectEvacuated(t)
	})
}

// TestZonesFromPeersInOutage guards against a daemon that starts while the platform refuses calls and opens flows in an evacuated zone,
// because it has the backend list of a peer of the previous version and asks no other one for the zones.
func TestZonesFromPeersInOutage(t *testing.T) {
	runEvacuationFleet(t, 3, func(i int) bool { return i > 1 }, func(f *fleet) {
		f.setEvacuated("mahebourg", true)
		time.Sleep(time.Second)
		for _, d := range f.daemons {
			d.source.setRefused(true)
		}
		d := f.daemons[0]
		for range 5 { // the peer that is asked is a random one
			d.kill()
			d.restart()
			time.Sleep(time.Second)
			d.mu.Lock()
			if !slices.Equal(d.zonesAtStart, []string{"mahebourg"}) || d.servers == 0 {
				t.Errorf("evacuated zones %v when the first backend list was in force, %d backend servers", d.zonesAtStart, d.servers)
			}
			d.mu.Unlock()
		}
	})
}
