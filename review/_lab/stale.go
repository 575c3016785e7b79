package main

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

var feedRoute = netip.MustParseAddrPort("198.18.0.1:8443")

// startSite starts 8 daemons and 14 hosts of one service in three zones.
func (w *world) startSite(ids ...uint64) error {
	number := 0
	for zone, count := range []int{5, 5, 4} {
		for range count {
			id := 0x18ca9f0000 + uint64(number)*0x1357911
			if number < len(ids) {
				id = ids[number]
			}
			if _, err := w.addHost("ovenwatch", zone, number, id); err != nil {
				return err
			}
			number++
		}
	}
	w.startRoutes()
	for zone, count := range []int{3, 3, 2} {
		for n := range count {
			if err := w.addDaemon(zone, n); err != nil {
				return err
			}
		}
	}
	go w.checkReadiness()
	if err := w.waitReady(); err != nil {
		return err
	}
	time.Sleep(settle)
	return nil
}

// hostOf returns the host at which a flow is open, nil if there is none.
func (w *world) hostOf(k flowKey) *host {
	for _, h := range w.hosts {
		if h.holds(k) {
			return h
		}
	}
	return nil
}

// Times of the case stale-evidence.
const (
	cutDuration   = 6 * time.Second
	stableWindow  = 4 * time.Second
	activePause   = time.Second
	quietPause    = 12 * time.Second
	timeLimit     = 2 * time.Second
	activeFlows   = 60
	quietFlows    = 30
	cutAfterLast  = 500 * time.Millisecond
	quietClients  = 3
	activeClients = 6
	staggerQuiet  = 20 * time.Millisecond
	othersFollow  = time.Second
)

// staleEvidence cuts one daemon off for 6 s. More than 4 s after the cut has healed, one datagram of a quiet flow is lost.
func staleEvidence(w *world, trouble bool) error {
	if err := w.startSite(); err != nil {
		return err
	}
	cutOff := w.daemons[0]
	var stopped atomic.Bool
	var healedAt atomic.Int64
	var all sync.WaitGroup
	judge := func(f *flow, end result) {
		if end != resetBySystem {
			return
		}
		h := w.hostOf(f.key)
		calm := healedAt.Load() == 0 || time.Since(w.record.started)-time.Duration(healedAt.Load()) > stableWindow
		if w.isCut() {
			calm = false
		}
		w.record.add("reset: flow %s; host holds it: %v; all machines in touch: %v", f.key.requester, h != nil, calm)
		if h != nil && calm {
			w.broken("FLOW", "flow %s, open at host %x, which lives and whose links are whole, was reset through %s", f.key.requester, uint64(h.entry.ID), w.choose(f.c.zone, f.key).name)
		}
	}
	// Requesters with a request each second on a long flow.
	for n := range activeClients {
		c, err := w.addClient(0, n)
		if err != nil {
			return err
		}
		for i := range activeFlows / activeClients {
			all.Go(func() {
				time.Sleep(time.Duration(i) * 50 * time.Millisecond)
				for !stopped.Load() {
					f := c.newFlow(feedRoute)
					for end := f.connect(); end == answered && !stopped.Load(); {
						if _, end = f.request(timeLimit); end != answered {
							judge(f, end)
							break
						}
						time.Sleep(activePause)
					}
					f.close()
				}
			})
		}
	}
	// Requesters with a request each 12 s on a long flow.
	var quiet []*flow
	for n := range quietClients {
		c, err := w.addClient(0, 100+n)
		if err != nil {
			return err
		}
		for range quietFlows / quietClients {
			f := c.newFlow(feedRoute)
			if end := f.connect(); end != answered {
				return fmt.Errorf("a flow did not open: %s", end)
			}
			if _, end := f.request(timeLimit); end != answered {
				return fmt.Errorf("a first request failed: %s", end)
			}
			quiet = append(quiet, f)
		}
	}
	lastQuiet := time.Now()
	time.Sleep(cutAfterLast)
	if trouble {
		w.setCutAll(cutOff, true)
		time.Sleep(cutDuration)
		w.setCutAll(cutOff, false)
		healedAt.Store(int64(time.Since(w.record.started)))
	}
	time.Sleep(time.Until(lastQuiet.Add(quietPause)))
	// The first request after the pause goes through the daemon that was cut off, and its first datagram is lost. The others follow.
	first := slices.IndexFunc(quiet, func(f *flow) bool { return w.choose(0, f.key) == cutOff && w.hostOf(f.key) != nil })
	if first < 0 {
		return fmt.Errorf("no quiet flow passes through %s", cutOff.name)
	}
	quiet[0], quiet[first] = quiet[first], quiet[0]
	h := w.hostOf(quiet[0].key)
	h.mu.Lock()
	h.loseNext[quiet[0].key] = true
	h.mu.Unlock()
	var quietDone sync.WaitGroup
	for i, f := range quiet {
		quietDone.Go(func() {
			if i > 0 {
				time.Sleep(othersFollow + time.Duration(i)*staggerQuiet)
			}
			if end, reset := f.drainIdle(); reset {
				judge(f, end)
				return
			}
			if _, end := f.request(timeLimit); end != answered {
				judge(f, end)
				return
			}
			time.Sleep(time.Second)
			if end, reset := f.drainIdle(); reset {
				judge(f, end)
			}
		})
	}
	quietDone.Wait()
	stopped.Store(true)
	all.Wait()
	return nil
}

// isCut reports whether a machine is cut off now.
func (w *world) isCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut
}

// setCutAll cuts a machine off from all other machines, all hosts and the store, or restores its links.
func (w *world) setCutAll(d *daemon, cut bool) {
	w.mu.Lock()
	w.cut = cut
	w.mu.Unlock()
	w.setCut(d, cut)
	for _, resume := range w.resume {
		resume()
	}
	w.resume = nil
	if !cut {
		return
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, h := range w.hosts {
		all.Go(func() {
			resume := h.stopHealth()
			mu.Lock()
			defer mu.Unlock()
			w.resume = append(w.resume, resume)
		})
	}
	all.Wait()
}
