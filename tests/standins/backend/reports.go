package main

import (
	"encoding/json"
	"maps"
	"math"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/encapsulator"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
)

// loadHistory is how long load samples are kept, and so the largest age of a reported load.
const loadHistory = 10 * time.Second

// loadSample is the load at a time.
type loadSample struct {
	at   time.Time
	load encapsulator.Load
}

func (s *server) currentLoad() encapsulator.Load {
	return encapsulator.Load{
		Running: uint16(s.running), Queued: uint16(len(s.queue)), Slots: uint16(s.slots), Feeds: uint32(len(s.feeds)),
	}
}

func (s *server) sampleLoad(now time.Time) {
	s.loadSamples = append(s.loadSamples, loadSample{at: now, load: s.currentLoad()})
	for len(s.loadSamples) > 0 && now.Sub(s.loadSamples[0].at) > loadHistory {
		s.loadSamples = s.loadSamples[1:]
	}
}

// reportedLoad returns the load for replies and health reports, which is delayed or false under a fault.
func (s *server) reportedLoad(now time.Time) encapsulator.Load {
	l := s.currentLoad()
	switch s.faults.FakeLoad {
	case "idle":
		return encapsulator.Load{Slots: uint16(s.slots)}
	case "full":
		return encapsulator.Load{
			Running: uint16(s.slots), Queued: uint16(s.config.maxQueued), Slots: uint16(s.slots), Feeds: uint32(min(s.maxFeeds, math.MaxInt32)),
		}
	}
	if lag := time.Duration(s.faults.LoadLag); lag > 0 && len(s.loadSamples) > 0 {
		l = s.loadSamples[0].load
		for _, sample := range s.loadSamples {
			if now.Sub(sample.at) < lag {
				break
			}
			l = sample.load
		}
	}
	return l
}

// healthReport is the JSON form of GET /health.
type healthReport struct {
	Service     string `json:"service"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Running     uint16 `json:"running"`
	Queued      uint16 `json:"queued"`
	Slots       uint16 `json:"slots"`
	Feeds       uint32 `json:"feeds"`
}

func (s *server) health() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		h := s.currentHealth(time.Now())
		remote, err := netip.ParseAddrPort(r.RemoteAddr)
		cut := err == nil && s.isCut(remote.Addr())
		down := s.faults.HealthDown
		if err == nil {
			down = down || containsAddress(s.faults.HealthCutPrefixes, remote.Addr())
			s.ledger.HealthChecks[remote.Addr()]++
		}
		s.mu.Unlock()
		if down {
			http.Error(w, "health check failed", http.StatusInternalServerError)
			return
		}
		if cut {
			<-r.Context().Done() // the caller's timeout ends the call, as on a link that drops all packets
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(h)
	})
	return mux
}

func (s *server) currentHealth(now time.Time) healthReport {
	state := "live"
	switch {
	case s.draining && s.faults.FakeLoad == "":
		state = "draining"
	case now.Sub(s.startedAt) < s.coldStart:
		state = "warming"
	}
	l := s.reportedLoad(now)
	return healthReport{
		Service: s.service, State: state, Incarnation: s.incarnation,
		Running: l.Running, Queued: l.Queued, Slots: l.Slots, Feeds: l.Feeds,
	}
}

func (s *server) admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/drain", admin.HandlePost(s.setDrain))
	mux.HandleFunc("POST /admin/faults", admin.HandlePost(s.setFaults))
	mux.HandleFunc("GET /admin/ledger", admin.HandleGet(s.ledgerCopy))
	return mux
}

func (s *server) setDrain(admin.Drain) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	return nil
}

// setFaults replaces the faults. When it ends the pause of answers, it sends the answers that were held back.
func (s *server) setFaults(f admin.BackendFaults) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.PauseAnswers {
		return nil
	}
	for _, r := range s.heldAnswers {
		s.send(&r.packet, r.to)
	}
	s.heldAnswers = nil
	return nil
}

func (s *server) ledgerCopy() admin.Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.ledger
	l.Runs, l.Refusals, l.Feeds = slices.Clone(l.Runs), slices.Clone(l.Refusals), slices.Clone(l.Feeds)
	l.ForeignRefused, l.ForeignAccepted = slices.Clone(l.ForeignRefused), slices.Clone(l.ForeignAccepted)
	l.WorkByCallerGroup, l.HealthChecks = maps.Clone(l.WorkByCallerGroup), maps.Clone(l.HealthChecks)
	return l
}
