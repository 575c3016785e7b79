package daemon

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/metric"

	"github.com/bluebelldyke/bluebelldyke/modules/configurer"
	"github.com/bluebelldyke/bluebelldyke/modules/counter"
	"github.com/bluebelldyke/bluebelldyke/routers/operator"
	"github.com/bluebelldyke/bluebelldyke/routers/peers"
	"github.com/bluebelldyke/bluebelldyke/routers/relayer"
	"github.com/bluebelldyke/bluebelldyke/services/auditor"
	"github.com/bluebelldyke/bluebelldyke/services/reviser"
	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// queryTimeout limits how long a status query waits for the decision goroutine.
const queryTimeout = time.Second

// status implements the sources of operator.Server.
type status struct {
	*auditor.Auditor
	settings configurer.Settings
	process  process
	decider  *decider
	peers    *peers.Peers
	relayer  *relayer.Relayer
	counters *counter.Set
	web      *webServer
}

func newStatus(
	s configurer.Settings, p process, a *auditor.Auditor, d *decider, members *peers.Peers, r *relayer.Relayer,
	c *counter.Set, w *webServer,
) *status {
	return &status{
		Auditor: a, settings: s, process: p, decider: d, peers: members, relayer: r, counters: c, web: w,
	}
}

// Status implements operator.StatusSource.
func (s *status) Status() operator.Status {
	versions := s.relayer.Versions()
	out := operator.Status{
		Name: s.peers.Address().String(), AvailabilityZone: s.settings.AvailabilityZone, Incarnation: s.process.incarnation,
		State:       operator.State(state(s.web.state.Load()).String()),
		VMsRevision: versions.VMs.Revision,
		Counters:    s.counters.Snapshot(),
	}
	for _, d := range s.relayer.Documents() {
		if d.Name == relayer.SettingsDocument {
			out.SettingsRevision = d.RevisionInForce
		}
		out.Documents = append(out.Documents, operator.Document{Name: d.Name, Revision: d.RevisionInForce, HeldRevision: d.HeldRevision})
	}
	for _, m := range s.peers.Members() {
		out.Peers = append(out.Peers, operator.Peer{
			Address: m.Address, AvailabilityZone: m.AvailabilityZone, State: m.State.String(),
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	type load struct {
		servers         []operator.BackendServer
		imbalance       float64
		evacuatedPlaces []string
	}
	if l, err := runQuery(ctx, s.decider, func(now time.Time) load {
		return load{s.decider.backendServers(now), s.decider.imbalance(now), s.decider.evacuatedPlaces()}
	}); err == nil {
		out.BackendServers, out.Imbalance, out.EvacuatedPlaces = l.servers, l.imbalance, l.evacuatedPlaces
	}
	out.EndedFlows = out.Counters["ended"]
	return out
}

// backendServers returns the state of all backend servers. It runs on the decision goroutine.
func (d *decider) backendServers(now time.Time) []operator.BackendServer {
	if d.current == nil {
		return nil
	}
	var list []operator.BackendServer
	for _, service := range d.current.Tree.Services {
		for _, b := range d.scheduler.Status(now, service.Name) {
			list = append(list, operator.BackendServer{
				Address: b.Address, Service: service.Name, AvailabilityZone: b.AvailabilityZone, State: serverState(b),
				Incarnation: d.forwarder.Incarnation(b.Address), InFlight: b.OwnInFlight, OpenFeeds: int(b.OpenFeeds + 0.5), Ejected: b.Ejected,
			})
		}
	}
	return list
}

func serverState(b scheduler.ServerStatus) string {
	switch {
	case b.Leaving:
		return "leaving"
	case b.Evacuated:
		return "evacuated"
	case b.Ejected:
		return "ejected"
	case b.InBackoff:
		return "closed"
	case b.WeightFactor < 1:
		return "warming"
	default:
		return "live"
	}
}

// auditEntry converts a decision about a document revision to an audit entry.
func auditEntry(e relayer.AuditEntry) auditor.Entry {
	out := auditor.Entry{Time: e.Time, Document: e.Document, Revision: e.Revision, Source: e.Source, Outcome: auditor.Refused}
	switch e.Outcome {
	case reviser.Applied:
		out.Outcome = auditor.Applied
		if e.Cause == reviser.CauseEvacuationChanged {
			out.Cause = e.Detail
		}
		return out
	case reviser.Waiting:
		out.Outcome = auditor.Waiting
	case reviser.LeftOut:
		out.Outcome = auditor.LeftOut
	}
	out.Cause = string(e.Cause)
	if e.Detail != "" {
		out.Cause += ": " + e.Detail
	}
	return out
}

// registerMetrics exports the counters of the data path and the state of the rings.
func registerMetrics(m metric.Meter, c *counter.Set, r rings, w *writers, s *status) error {
	if err := registerCounters(m, "forwarder", c); err != nil {
		return err
	}
	if err := registerEvacuation(m, s); err != nil {
		return err
	}
	return registerGauges(m, []gauge{
		{"ring.entry.batches", "Batches waiting from callers.", "{batch}", func() float64 { return float64(r.entry.Len()) }},
		{"ring.entry.drops", "Batches from callers dropped at a full ring.", "{batch}", func() float64 { return float64(r.entry.Dropped()) }},
		{"ring.backend.batches", "Batches waiting from backend servers.", "{batch}", func() float64 { return float64(r.backend.Len()) }},
		{"ring.backend.drops", "Batches from backend servers dropped at a full ring.", "{batch}", func() float64 { return float64(r.backend.Dropped()) }},
		{"ring.writer.drops", "Outputs dropped at a full writer ring, or after a pause of the process.", "{output}", func() float64 {
			return float64(w.callerRing.Dropped() + w.backendRing.Dropped() + w.staleDrops.Load())
		}},
		{"imbalance", "Largest number of open feeds at a backend server over the mean, as this balancer estimates it.", "1",
			s.imbalance},
	})
}

// imbalance returns the largest ratio of the estimated open feeds of a backend server to the mean of its service, or 1 if the
// decision goroutine does not answer in time.
func (s *status) imbalance() float64 {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	largest, err := runQuery(ctx, s.decider, s.decider.imbalance)
	if err != nil {
		return 1
	}
	return largest
}

func (d *decider) imbalance(now time.Time) float64 {
	largest := 1.0
	if d.current == nil {
		return largest
	}
	for _, service := range d.current.Tree.Services {
		highest, sum, n := 0.0, 0.0, 0
		for _, b := range d.scheduler.Status(now, service.Name) {
			if b.Leaving || b.Evacuated || b.Ejected {
				continue
			}
			highest, sum, n = max(highest, b.OpenFeeds), sum+b.OpenFeeds, n+1
		}
		if sum > 0 {
			largest = max(largest, highest*float64(n)/sum)
		}
	}
	return largest
}
