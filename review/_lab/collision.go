package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/tagger"
)

// collidingIDs returns two host ids whose flow tags are equal, the lower one first. Ids have 10 hexadecimal digits.
func collidingIDs() (low, high uint64) {
	seen := map[uint32]uint64{}
	for {
		id := rand.Uint64N(1<<40-1<<36) + 1<<36
		hash := tagger.Hash(id, 0)
		if other, ok := seen[hash]; ok && other != id {
			return min(id, other), max(id, other)
		}
		seen[hash] = id
	}
}

// tagCollision adds a host of one service whose id has the same flow tag as that of a host of another service.
func tagCollision(w *world, trouble bool) error {
	low, high := collidingIDs()
	w.record.add("ids %x and %x have the flow tag hash %08x", low, high, tagger.Hash(high, 0))
	if err := w.startSite(high); err != nil {
		return err
	}
	const limit = 2 * time.Second
	var stopped, settled atomic.Bool
	var all sync.WaitGroup
	for n := range 6 {
		c, err := w.addClient(0, n)
		if err != nil {
			return err
		}
		for i := range 10 {
			all.Go(func() {
				time.Sleep(time.Duration(i) * 100 * time.Millisecond)
				for !stopped.Load() {
					f := c.newFlow(feedRoute)
					for end := f.connect(); end == answered && !stopped.Load(); {
						var id uint64
						if id, end = f.request(limit); end == answered {
							time.Sleep(time.Second)
							continue
						}
						h := w.hostOf(f.key)
						if (end == resetByHost || end == resetBySystem) && h != nil && settled.Load() {
							w.broken("FLOW", "flow %s, open at host %x, which lives, was reset by another host (%s); request %d was sent on it", f.key.requester, uint64(h.entry.ID), end, id)
						}
					}
					f.close()
				}
			})
		}
	}
	time.Sleep(5 * time.Second)
	settled.Store(true)
	if trouble {
		if _, err := w.addHost("recipecard", 0, 30, low); err != nil {
			return err
		}
		w.record.add("platform: host %x of recipecard starts", low)
	}
	time.Sleep(6 * time.Second)
	stopped.Store(true)
	all.Wait()
	if w.answers.Load() == 0 {
		return fmt.Errorf("no request was answered")
	}
	return nil
}
