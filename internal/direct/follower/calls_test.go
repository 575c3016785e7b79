package follower

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// TestReadsPerFleet guards against reads of the platform that grow with the fleet: one daemon reads for all while they can reach each
// other.
func TestReadsPerFleet(t *testing.T) {
	for _, perZone := range []int{3, 30} {
		runFleet(t, perZone, threeZones, func(f *fleet) {
			f.fakePlatform.mu.Lock()
			f.reads, f.checks = 0, 0
			f.fakePlatform.mu.Unlock()
			time.Sleep(60 * time.Second)
			f.fakePlatform.mu.Lock()
			defer f.fakePlatform.mu.Unlock()
			// One daemon that reads at 0.45 of the bound reads 44 times a minute.
			if f.reads > 66 || f.checks > 10 || f.reads < 30 {
				t.Errorf("%d daemons: %d reads of the backend list, %d checks of the configuration in 60 s", 3*perZone, f.reads, f.checks)
			}
		})
	}
}

// TestRefusedDaemons guards against a daemon that stays behind when the platform refuses its calls, although its peers know the change.
func TestRefusedDaemons(t *testing.T) {
	runFleet(t, 3, threeZones, func(f *fleet) {
		for i, d := range f.daemons {
			d.source.setRefused(i%3 != 0)
		}
		f.change(func() { f.version, f.servers = 7, append(f.servers, newBackendServer(3)) })
		time.Sleep(stalenessBound)
		f.expectInForce(t, 7, 3)
		f.change(func() { f.version, f.routes = 8, 400 }) // too large to be sent to a whole zone, but daemons without the platform get it
		time.Sleep(2 * stalenessBound)
		f.expectInForce(t, 8, 3)
	})
}

// TestStartupCalls guards against a second call of a starting daemon to which peers announce a large configuration: the read of the
// backend list that is in progress returns the configuration too. Without that, daemons made 351 reads and 348 checks
// (isbc-grid-large trouble-3, second 42).
func TestStartupCalls(t *testing.T) {
	runFleet(t, 10, threeZones, func(f *fleet) {
		f.change(func() { f.version, f.routes = 5, 2*largeConfigurationRoutes })
		time.Sleep(2 * stalenessBound)
		f.fakePlatform.mu.Lock()
		f.checks, f.callTime = 0, 200*time.Millisecond
		f.fakePlatform.mu.Unlock()
		d := &daemon{fleet: f, source: f.daemons[0].source, zone: threeZones[0], address: netip.MustParseAddrPort("10.0.0.99:7400")}
		c := f.daemons[0].c
		c.Sink, c.Peers = process{d, 0}, d
		follower := New(c)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		d.Follower = follower
		f.setDaemons(append(slices.Clone(f.daemons), d))
		d.setPartitioned(true) // its peers do not know it yet
		group, ctx := errgroup.WithContext(ctx)
		group.Go(func() error { return follower.Run(ctx) })
		time.Sleep(50 * time.Millisecond)
		d.setPartitioned(false)
		f.daemons[1].announce(nil)
		time.Sleep(time.Second)
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
		f.fakePlatform.mu.Lock()
		defer f.fakePlatform.mu.Unlock()
		if f.checks > 0 {
			t.Errorf("%d checks of the configuration", f.checks)
		}
	})
}

// TestOutage guards against daemons that do not read again after an outage of the platform, and against retries without a backoff.
func TestOutage(t *testing.T) {
	runFleet(t, 3, threeZones, func(f *fleet) {
		f.setRefused(true)
		time.Sleep(20 * time.Second)
		f.change(func() { f.version, f.servers = 10, f.servers[:1] })
		f.setRefused(false)
		time.Sleep(stalenessBound)
		f.expectInForce(t, 10, 1)
	})
}

// TestOutageCalls guards against calls that grow with the fleet while the platform refuses all calls: each call is charged, and
// one daemon that succeeds announces the change to the others (isbc-grid-large trouble-3, seconds 6 to 11).
func TestOutageCalls(t *testing.T) {
	runFleet(t, 60, threeZones, func(f *fleet) {
		f.setRefused(true)
		time.Sleep(6 * time.Second)
		f.fakePlatform.mu.Lock()
		// A third of the 2,446 calls that these daemons made when each of them retried both documents at short intervals.
		if limit := 2446 / 3; f.refusals > limit {
			t.Errorf("%d calls of %d daemons in 6 s, want at most %d", f.refusals, len(f.daemons), limit)
		}
		f.fakePlatform.mu.Unlock()
		f.change(func() { f.version, f.servers = 10, f.servers[:1] })
		f.setRefused(false)
		time.Sleep(stalenessBound)
		f.expectInForce(t, 10, 1)
	})
}

// TestSlowAnswers guards against a whole fleet that reads the platform because an answer takes longer than the delay between the ranks:
// a backend list with a large configuration takes 0.8 s on a slow link (a small version of isbc-grid-large trouble-3, from second 47 on).
func TestSlowAnswers(t *testing.T) {
	runFleet(t, 10, threeZones, func(f *fleet) {
		f.fakePlatform.mu.Lock()
		f.callTime = 400 * time.Millisecond
		f.fakePlatform.mu.Unlock()
		time.Sleep(10 * time.Second) // until the pacers know the duration of a read
		f.fakePlatform.mu.Lock()
		f.reads, f.checks = 0, 0
		f.fakePlatform.mu.Unlock()
		time.Sleep(30 * time.Second)
		f.fakePlatform.mu.Lock()
		defer f.fakePlatform.mu.Unlock()
		// One daemon reads every 1.75 s (0.45 of the bound plus the duration of a read), and a second one occasionally.
		if f.reads > 36 || f.checks > 10 {
			t.Errorf("%d reads of the backend list and %d checks in 30 s", f.reads, f.checks)
		}
	})
}
