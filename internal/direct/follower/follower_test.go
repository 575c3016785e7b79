package follower

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// TestSilentWatch guards against a change that is not in force within the bound because the watches went silent when the
// platform dropped its history (benammar-lb scale-2, CONFIG broken at 12.4 s).
func TestSilentWatch(t *testing.T) {
	run(t, 3, threeZones, func(f *fleet) {
		f.change(func() { f.silent, f.lost = true, true })
		f.change(func() { f.version = 5 })
		time.Sleep(bound - 500*time.Millisecond)
		f.expect(t, 5, 2)
	})
}

// TestIsolated guards against a daemon that relies on peers it does not hear.
func TestIsolated(t *testing.T) {
	run(t, 3, threeZones, func(f *fleet) {
		for _, d := range f.daemons {
			d.setCut(true)
		}
		f.change(func() { f.silent = true })
		f.change(func() { f.version, f.servers = 6, f.servers[:1] })
		time.Sleep(bound - 500*time.Millisecond)
		f.expect(t, 6, 1)
	})
}

// TestLines guards against a daemon that acts on views which nobody confirms without telling, and against changes of who
// reads the platform that leave no line.
func TestLines(t *testing.T) {
	run(t, 3, threeZones, func(f *fleet) {
		readers := 0
		for _, d := range f.daemons {
			readers += d.lines.FilterMessage("reader changed").FilterField(zap.String("view", "configuration")).FilterField(zap.Bool("reads", true)).Len()
		}
		if readers != watchers*len(threeZones) {
			t.Errorf("%d daemons tell that they watch the configuration", readers)
		}
		d := f.daemons[0]
		told := func(message string) int { return d.lines.FilterMessageSnippet(message).Len() }
		if n := told("view too old"); n != 0 {
			t.Errorf("%d lines about old views while all is well", n)
		}
		d.setCut(true)
		d.view.refuse(true)
		time.Sleep(3 * bound)
		if n := told("view too old"); n != int(documents) {
			t.Errorf("%d lines about old views of a daemon that hears nothing", n)
		}
		if configuration, listing := d.Ages(); configuration < bound || listing < bound {
			t.Errorf("ages %s and %s", configuration, listing)
		}
		d.view.refuse(false)
		time.Sleep(2 * bound)
		if n := told("view fresh again"); n != int(documents) {
			t.Errorf("%d lines about fresh views", n)
		}
		if configuration, listing := d.Ages(); configuration > bound || listing > bound {
			t.Errorf("ages %s and %s", configuration, listing)
		}
	})
}

// TestStalePeer guards against a daemon that starts, hears first of a peer that was cut off, and uses a backend server that has left and
// a configuration that was replaced until its own read is done. While it can't read the platform, what the peer has is better than nothing.
func TestStalePeer(t *testing.T) {
	for _, refused := range []bool{false, true} {
		run(t, 1, threeZones[:1], func(f *fleet) {
			peer := f.daemons[0]
			peer.view.refuse(true)
			f.change(func() { f.version, f.servers = 8, f.servers[:1] })
			time.Sleep(10 * bound)
			f.store.mu.Lock()
			f.takes = time.Second
			f.store.mu.Unlock()
			d := &daemon{fleet: f, view: &view{store: f.store, refused: refused}, zone: peer.zone, address: netip.MustParseAddrPort("10.0.0.99:7400")}
			c := peer.c
			c.Source, c.Sink, c.Peers = d.view, d, d
			d.Follower = New(c)
			f.daemons = append(f.daemons, d)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			group, ctx := errgroup.WithContext(ctx)
			group.Go(func() error { return d.Run(ctx) })
			time.Sleep(500 * time.Millisecond)
			if v, n := d.state(); v != 0 || n != 0 {
				t.Errorf("refused %t: version %d and %d backend servers of the stale peer are in force", refused, v, n)
			}
			time.Sleep(4 * time.Second)
			wantVersion, wantServers := uint64(8), 1
			if refused {
				wantVersion, wantServers = 1, 2
			}
			if v, n := d.state(); v != wantVersion || n != wantServers {
				t.Errorf("refused %t: version %d and %d backend servers in force, want %d and %d", refused, v, n, wantVersion, wantServers)
			}
			cancel()
			if err := group.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestSuspendedPeer guards against a VM that was suspended and tells its list with the age that its clock shows, so that a daemon that
// starts believes in it: what it tells, and when it reads, follow the true age.
func TestSuspendedPeer(t *testing.T) {
	run(t, 2, threeZones[:1], func(f *fleet) {
		f.refuse(true)
		time.Sleep(bound / 2)
		configuration, listing := f.daemons[0].Ages()
		f.daemons[0].HandleSuspension(10 * time.Second)
		if c, l := f.daemons[0].Ages(); c < configuration+10*time.Second || l < listing+10*time.Second {
			t.Errorf("ages %s and %s after 10 s of sleep, before %s and %s", c, l, configuration, listing)
		}
		f.daemons[0].view.refuse(false)
		time.Sleep(time.Second)
		if c, l := f.daemons[0].Ages(); c > bound || l > bound {
			t.Errorf("ages %s and %s a second after the platform was back", c, l)
		}
	})
}
