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
	lostProbes   []bool
	modulo       bool
	panicShare   float64
}

// NewFabric returns a fabric. A daemon is in rotation after its first successful readiness check.
func NewFabric(targets []Target) *Fabric {
	f := &Fabric{targets: targets, missedProbes: make([]int, len(targets)), inRotation: make([]bool, len(targets)), lostProbes: make([]bool, len(targets))}
	f.client.Timeout = probeInterval
	f.client.Transport = &http.Transport{DisableKeepAlives: true}
	return f
}

// SetModulo makes the fabric choose by the hash of the flow modulo the number of daemons in rotation. Nearly all flows move when it changes.
func (f *Fabric) SetModulo(modulo bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.modulo = modulo
}

// SetPanicShare makes the fabric use all daemons while a smaller share of them is in rotation. At first it does so only while none is.
func (f *Fabric) SetPanicShare(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.panicShare = share
}

// SetProbesLost makes the checks at a readiness address get no answer, although the process runs.
func (f *Fabric) SetProbesLost(readiness netip.AddrPort, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, t := range f.targets {
		if t.Readiness == readiness {
			f.lostProbes[i] = lost
		}
	}
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
	if ok && !f.lostProbes[i] {
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
	used := make([]netip.AddrPort, 0, len(f.targets))
	for i, t := range f.targets {
		if f.inRotation[i] {
			used = append(used, t.Entry)
		}
	}
	if len(used) == 0 || float64(len(used)) < f.panicShare*float64(len(f.targets)) {
		used = used[:0]
		for _, t := range f.targets {
			used = append(used, t.Entry)
		}
	}
	if f.modulo {
		return used[flow%uint64(len(used))]
	}
	best, bestScore := 0, uint64(0)
	for i, entry := range used {
		if r := ranker.PairScore(flow, ranker.Hash(entry)); r >= bestScore {
			best, bestScore = i, r
		}
	}
	return used[best]
}
