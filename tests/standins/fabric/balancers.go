package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
)

// Interval and timeout of the health polls of a balancer.
const (
	pollInterval = 100 * time.Millisecond
	pollTimeout  = 500 * time.Millisecond
)

// balancer is a registered balancer with the sockets that relay its control traffic.
type balancer struct {
	admin.FabricBalancer
	healthy       atomic.Bool
	sentDatagrams atomic.Uint64
	stop          context.CancelFunc
	closers       []io.Closer
}

func (f *fabric) addBalancer(a admin.FabricBalancer) error {
	b := &balancer{FabricBalancer: a}
	if err := f.openRelays(b); err != nil {
		b.close()
		return err
	}
	ctx, cancel := context.WithCancel(f.ctx)
	b.stop = cancel
	f.mu.Lock()
	if f.balancers[a.Name] != nil {
		f.mu.Unlock()
		b.close()
		return errDuplicate("balancer", a.Name)
	}
	f.balancers[a.Name] = b
	f.mu.Unlock()
	f.group.Go(func() error { f.pollHealth(ctx, b); return nil })
	return nil
}

func (b *balancer) close() {
	if b.stop != nil {
		b.stop()
	}
	for _, c := range b.closers {
		_ = c.Close()
	}
}

func (f *fabric) openRelays(b *balancer) error {
	conn, err := listenUDP(b.PeerAdvertise)
	if err != nil {
		return err
	}
	b.closers = append(b.closers, conn)
	peer, err := net.Listen("tcp4", b.PeerAdvertise.String())
	if err != nil {
		return eris.Wrap(err, "listen for connections of peers")
	}
	b.closers = append(b.closers, peer)
	platform, err := net.Listen("tcp4", b.PlatformRelay.String())
	if err != nil {
		return eris.Wrap(err, "listen for connections to the platform")
	}
	b.closers = append(b.closers, platform)
	for _, c := range b.closers {
		f.closeAtStop(c)
	}
	f.group.Go(func() error { f.relayDatagrams(conn, b); return nil })
	f.group.Go(func() error { f.relayPeers(peer, b); return nil })
	f.group.Go(func() error { f.relayPlatform(platform, b); return nil })
	return nil
}

func (f *fabric) removeBalancer(name string) {
	f.mu.Lock()
	b := f.balancers[name]
	delete(f.balancers, name)
	f.mu.Unlock()
	if b != nil {
		b.close()
		f.updateLiveBalancers()
	}
}

// pollHealth polls the health endpoint of a balancer until ctx ends.
func (f *fabric) pollHealth(ctx context.Context, b *balancer) {
	dialer := net.Dialer{Timeout: pollTimeout}
	c := &http.Client{Timeout: pollTimeout, Transport: &http.Transport{DialContext: dialer.DialContext}}
	defer c.CloseIdleConnections()
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		ok := isHealthy(ctx, c, b.Metrics)
		if ok != b.healthy.Swap(ok) {
			f.updateLiveBalancers()
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func isHealthy(ctx context.Context, c *http.Client, a netip.AddrPort) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+"/healthz", nil)
	if err != nil {
		return false
	}
	answer, err := c.Do(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// updateLiveBalancers replaces the list of live balancers, ordered by name so that the choices are the same for the same seed.
func (f *fabric) updateLiveBalancers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	live := make([]*balancer, 0, len(f.balancers))
	for _, b := range f.balancers {
		if b.healthy.Load() {
			live = append(live, b)
		}
	}
	sortByName(live)
	f.liveBalancers.Store(&live)
}
