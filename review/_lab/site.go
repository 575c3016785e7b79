package main

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
)

var (
	feedRoute  = netip.MustParseAddrPort("198.18.0.1:8443")
	sheetRoute = netip.MustParseAddrPort("198.18.0.2:8443")
)

// startSite starts 8 daemons and 14 hosts of one service in three zones, the first ones with the given ids.
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

// startRoutes writes the desired state of both services.
func (w *world) startRoutes() {
	w.configure([]directory.Route{
		{Name: "r-feed", Address: feedRoute, Shares: []directory.Share{{Service: "ovenwatch", Weight: 1}}, Timeout: 2 * time.Second, TargetLatency: 150 * time.Millisecond, Priority: 2},
		{Name: "r-sheet", Address: sheetRoute, Shares: []directory.Share{{Service: "recipecard", Weight: 1}}, Timeout: 8 * time.Second, TargetLatency: 500 * time.Millisecond, Priority: 2},
	})
}
