package direct

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/ranker"
)

const (
	// probeInterval is the time between two readiness checks of a daemon, and probeMisses how many it may miss.
	probeInterval = 500 * time.Millisecond
	probeMisses   = 2
)

// Target is a daemon as the fabric knows it.
type Target struct{ Entry, Readiness netip.AddrPort }

// Fabric chooses a daemon for each packet by a hash of the flow over those in rotation.
type Fabric struct {
	targets []Target
	client  http.Client

	mu     sync.Mutex
	misses []int
	ready  []bool
}

// NewFabric returns a fabric without a daemon in rotation.
func NewFabric(targets []Target) *Fabric {
	f := &Fabric{targets: targets, misses: make([]int, len(targets)), ready: make([]bool, len(targets))}
	f.client.Timeout = probeInterval
	f.client.Transport = &http.Transport{DisableKeepAlives: true}
	return f
}

// Run checks the daemons until ctx ends.
func (f *Fabric) Run(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		var wait sync.WaitGroup
		for i := range f.targets {
			wait.Go(func() { f.probe(ctx, i) })
		}
		wait.Wait()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (f *Fabric) probe(ctx context.Context, i int) {
	ok := false
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.targets[i].Readiness.String()+"/readiness", nil)
	if err == nil {
		if response, err := f.client.Do(request); err == nil {
			ok = response.StatusCode == http.StatusOK
			_ = response.Body.Close()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if ok {
		f.misses[i], f.ready[i] = 0, true
		return
	}
	if f.misses[i]++; f.misses[i] >= probeMisses {
		f.ready[i] = false
	}
}

// ReadyCount returns the number of daemons in rotation.
func (f *Fabric) ReadyCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, ready := range f.ready {
		if ready {
			count++
		}
	}
	return count
}

// Choose returns the daemon for a flow. Without one in rotation, all are used.
func (f *Fabric) Choose(caller, service netip.AddrPort) netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	flow := ranker.Pair(ranker.Hash(caller), ranker.Hash(service))
	best, rank, any := 0, uint64(0), false
	for _, ready := range f.ready {
		any = any || ready
	}
	for i, t := range f.targets {
		if any && !f.ready[i] {
			continue
		}
		if r := ranker.Pair(flow, ranker.Hash(t.Entry)); r >= rank {
			best, rank = i, r
		}
	}
	return f.targets[best].Entry
}
