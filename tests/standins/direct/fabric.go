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
	// probeInterval is the time between two readiness checks of a daemon. After maxMissedProbes failed checks in a row it
	// is out of rotation.
	probeInterval   = 500 * time.Millisecond
	maxMissedProbes = 2
)

// Target holds the addresses of a daemon that the fabric uses.
type Target struct{ Entry, Readiness netip.AddrPort }

// Fabric chooses a daemon for each packet by rendezvous hashing of the flow over the daemons in rotation.
type Fabric struct {
	targets []Target
	client  http.Client

	mu           sync.Mutex
	missedProbes []int
	inRotation   []bool
}

// NewFabric returns a fabric. A daemon is in rotation after its first successful readiness check.
func NewFabric(targets []Target) *Fabric {
	f := &Fabric{targets: targets, missedProbes: make([]int, len(targets)), inRotation: make([]bool, len(targets))}
	f.client.Timeout = probeInterval
	f.client.Transport = &http.Transport{DisableKeepAlives: true}
	return f
}

// Run checks the readiness of the daemons until ctx ends.
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
		f.missedProbes[i], f.inRotation[i] = 0, true
		return
	}
	if f.missedProbes[i]++; f.missedProbes[i] >= maxMissedProbes {
		f.inRotation[i] = false
	}
}

// ReadyCount returns the number of daemons in rotation.
func (f *Fabric) ReadyCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, ready := range f.inRotation {
		if ready {
			count++
		}
	}
	return count
}

// Choose returns the entry address of the daemon for a flow. If none is in rotation, it chooses among all.
func (f *Fabric) Choose(caller, service netip.AddrPort) netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	flow := ranker.PairScore(ranker.Hash(caller), ranker.Hash(service))
	best, bestScore, anyReady := 0, uint64(0), false
	for _, ready := range f.inRotation {
		anyReady = anyReady || ready
	}
	for i, t := range f.targets {
		if anyReady && !f.inRotation[i] {
			continue
		}
		if r := ranker.PairScore(flow, ranker.Hash(t.Entry)); r >= bestScore {
			best, bestScore = i, r
		}
	}
	return f.targets[best].Entry
}
