package follower

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/encoder"
)

// TestSilentWatch guards against a change that is not in force within the bound because watches reported nothing after the platform
// dropped its history (benammar-lb scale-2, where the check CONFIG failed at 12.4 s).
func TestSilentWatch(t *testing.T) {
	runFleet(t, 3, threeZones, func(f *fleet) {
		f.change(func() { f.watchesSilent, f.historyLost = true, true })
		f.change(func() { f.version = 5 })
		time.Sleep(stalenessBound - 500*time.Millisecond)
		f.expectInForce(t, 5, 2)
	})
}

// TestRejectedConfiguration guards against daemons that no longer follow the backend list, or that take their configuration for current, while
// the newest one cannot be decoded.
func TestRejectedConfiguration(t *testing.T) {
	runFleet(t, 3, threeZones, func(f *fleet) {
		f.change(func() { f.version, f.rejected = 5, true })
		f.change(func() { f.servers = f.servers[:1] })
		time.Sleep(stalenessBound)
		f.expectInForce(t, 1, 1)
		rejected := 0
		for _, d := range f.daemons {
			rejected += d.logs.FilterMessageSnippet("configuration rejected").Len()
			if configuration, _ := d.Ages(); configuration < stalenessBound/2 {
				t.Errorf("%s: age %s of the configuration", d.address, configuration)
			}
		}
		if rejected == 0 || rejected > len(f.daemons) {
			t.Errorf("%d lines about the rejected configuration of %d daemons", rejected, len(f.daemons))
		}
		f.change(func() { f.version, f.rejected = 6, false })
		time.Sleep(stalenessBound)
		f.expectInForce(t, 6, 1)
	})
}

// TestPartitionedDaemons guards against daemons that rely on peers that they cannot reach.
func TestPartitionedDaemons(t *testing.T) {
	runFleet(t, 3, threeZones, func(f *fleet) {
		for _, d := range f.daemons {
			d.setPartitioned(true)
		}
		f.change(func() { f.watchesSilent = true })
		f.change(func() { f.version, f.servers = 6, f.servers[:1] })
		time.Sleep(stalenessBound - 500*time.Millisecond)
		f.expectInForce(t, 6, 1)
	})
}

// TestStalenessLogs guards against missing log lines: about a stale document in force, and about a change of the daemons that
// read the platform.
func TestStalenessLogs(t *testing.T) {
	runFleet(t, 3, threeZones, func(f *fleet) {
		readers := 0
		for _, d := range f.daemons {
			readers += d.logs.FilterMessage("reader changed").FilterField(zap.String("view", "configuration")).FilterField(zap.Bool("reads", true)).Len()
		}
		if readers != watchersPerZone*len(threeZones) {
			t.Errorf("%d daemons log that they watch the configuration", readers)
		}
		d := f.daemons[0]
		logged := func(message string) int { return d.logs.FilterMessageSnippet(message).Len() }
		if n := logged("view too old"); n != 0 {
			t.Errorf("%d lines about stale documents without a fault", n)
		}
		d.setPartitioned(true)
		d.source.setRefused(true)
		time.Sleep(3 * stalenessBound)
		if n := logged("view too old"); n != int(encoder.DocumentCount) {
			t.Errorf("%d lines about stale documents of a partitioned daemon", n)
		}
		if configuration, backendList := d.Ages(); configuration < stalenessBound || backendList < stalenessBound {
			t.Errorf("ages %s of the configuration and %s of the backend list", configuration, backendList)
		}
		d.source.setRefused(false)
		time.Sleep(2 * stalenessBound)
		if n := logged("view fresh again"); n != int(encoder.DocumentCount) {
			t.Errorf("%d lines about fresh documents", n)
		}
		if configuration, backendList := d.Ages(); configuration > stalenessBound || backendList > stalenessBound {
			t.Errorf("ages %s of the configuration and %s of the backend list", configuration, backendList)
		}
	})
}

// TestStalePeer guards against a starting daemon that gets its first documents from a peer that was partitioned, and so uses a backend
// server that has left and a replaced configuration until its own read is done. While the daemon cannot read the platform, it does use
// the stale documents.
func TestStalePeer(t *testing.T) {
	for _, refused := range []bool{false, true} {
		runFleet(t, 1, threeZones[:1], func(f *fleet) {
			peer := f.daemons[0]
			peer.source.setRefused(true)
			f.change(func() { f.version, f.servers = 8, f.servers[:1] })
			time.Sleep(10 * stalenessBound)
			f.fakePlatform.mu.Lock()
			f.callTime = time.Second
			f.fakePlatform.mu.Unlock()
			d := &daemon{fleet: f, source: &fakeSource{fakePlatform: f.fakePlatform, refused: refused}, zone: peer.zone, address: netip.MustParseAddrPort("10.0.0.99:7400")}
			c := peer.c
			c.Source, c.Sink, c.Peers = d.source, process{d, 0}, d
			d.Follower = New(c)
			f.setDaemons(append(slices.Clone(f.daemons), d))
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			group, ctx := errgroup.WithContext(ctx)
			group.Go(func() error { return d.Run(ctx) })
			time.Sleep(500 * time.Millisecond)
			if v, n := d.inForce(); v != 0 || n != 0 {
				t.Errorf("refused %t: version %d and %d backend servers of the stale peer are in force", refused, v, n)
			}
			time.Sleep(4 * time.Second)
			wantVersion, wantServers := uint64(8), 1
			if refused {
				wantVersion, wantServers = 1, 2
			}
			if v, n := d.inForce(); v != wantVersion || n != wantServers {
				t.Errorf("refused %t: version %d and %d backend servers in force, want %d and %d", refused, v, n, wantVersion, wantServers)
			}
			cancel()
			if err := group.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestSuspendedPeer guards against a starting daemon that accepts stale documents from a peer whose VM was suspended, because the
// peer's clock stood still meanwhile. The ages that the peer sends and the time of its next read must include the suspension.
func TestSuspendedPeer(t *testing.T) {
	runFleet(t, 2, threeZones[:1], func(f *fleet) {
		f.setRefused(true)
		time.Sleep(stalenessBound / 2)
		configuration, backendList := f.daemons[0].Ages()
		f.daemons[0].HandleSuspension(10 * time.Second)
		if c, l := f.daemons[0].Ages(); c < configuration+10*time.Second || l < backendList+10*time.Second {
			t.Errorf("ages %s of the configuration and %s of the backend list after a suspension of 10 s, %s and %s before", c, l, configuration, backendList)
		}
		f.daemons[0].source.setRefused(false)
		time.Sleep(time.Second)
		if c, l := f.daemons[0].Ages(); c > stalenessBound || l > stalenessBound {
			t.Errorf("ages %s of the configuration and %s of the backend list a second after the platform answered again", c, l)
		}
	})
}
