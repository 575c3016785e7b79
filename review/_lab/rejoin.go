package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bluebelldyke/bluebelldyke/tests/standins/linker"
)

// Times and sizes of the case cut-rejoin.
const (
	streamPause = 60 * time.Millisecond
	streamBytes = 1100
	streamFlows = 90
	awayTime    = 3 * time.Second // from the restart of a daemon until its flows have moved back
	carryTime   = 7 * time.Second // for which it carries its flows while it is cut off
)

// cutRejoin stops and starts a daemon that is cut off from the other daemons when it is back, and crashes a host some seconds later.
func cutRejoin(w *world, trouble bool) error {
	if err := w.startSite(); err != nil {
		return err
	}
	for _, h := range w.hosts {
		h.mu.Lock()
		h.answerBytes, h.work = streamBytes, 5*time.Millisecond
		h.mu.Unlock()
	}
	w.totals = true
	var stopped atomic.Bool
	var all sync.WaitGroup
	for n := range 6 {
		c, err := w.addClient(0, n)
		if err != nil {
			return err
		}
		for i := range streamFlows / 6 {
			all.Go(func() {
				time.Sleep(time.Duration(i) * 30 * time.Millisecond)
				for !stopped.Load() {
					f := c.newFlow(feedRoute)
					end := f.connect()
					for end == answered && !stopped.Load() {
						if _, end = f.request(2 * time.Second); end == answered {
							time.Sleep(streamPause)
						}
					}
					f.close()
				}
			})
		}
	}
	time.Sleep(4 * time.Second)
	rejoining := w.daemons[2]
	w.terminate(rejoining)
	w.mu.Lock()
	rejoining.inRotation, rejoining.misses = false, 2
	w.mu.Unlock()
	time.Sleep(awayTime)
	if trouble {
		w.record.add("platform: %s cut off from the other daemons", rejoining.name)
		w.setPeerCut(rejoining, true)
	}
	if err := w.start(rejoining); err != nil {
		return err
	}
	w.record.add("platform: %s starts", rejoining.name)
	if err := w.waitReady(); err != nil {
		return err
	}
	w.record.add("routers: %s is in rotation", rejoining.name)
	time.Sleep(carryTime)
	crashed := w.hosts[1]
	w.record.add("platform: host %x crashes", uint64(crashed.entry.ID))
	crashed.crash()
	time.Sleep(4 * time.Second)
	if trouble {
		w.setPeerCut(rejoining, false)
	}
	stopped.Store(true)
	all.Wait()
	for _, h := range w.hosts {
		h.mu.Lock()
		w.record.add("host %x of %s: ran %d requests, opened %d flows", uint64(h.entry.ID), h.entry.Service, len(h.runs), h.opened)
		h.mu.Unlock()
	}
	if w.answers.Load() == 0 {
		return fmt.Errorf("no request was answered")
	}
	return nil
}

// setPeerCut cuts a daemon off from the other daemons, or restores its links.
func (w *world) setPeerCut(d *daemon, cut bool) {
	for _, other := range w.daemons {
		f := linker.DatagramFault{}
		if cut {
			f.Cut = w.cutOf(d, other)
		}
		other.peer.SetFault(f)
	}
}
