package reporter

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/dialer"
	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/services/aggregator"
	"github.com/bluebelldyke/bluebelldyke/services/prober"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// ReferenceFinder finds a backend server that answers, by whose probe that of another one is judged.
type ReferenceFinder interface {
	Reference(id directory.ServerID) (steerer.Reference, bool)
}

// sweepInterval is the interval at which the state of backend servers without evidence is dropped.
const sweepInterval = 10 * time.Second

// Run carries out probes until ctx ends, if they are switched on.
func (r *Reporter) Run(ctx context.Context) error {
	if r.dialer == nil {
		return nil
	}
	return r.dialer.Run(ctx)
}

// startProbe probes the backend server of a finding if that is still needed.
func (r *Reporter) startProbe(f *steerer.Finding) {
	var due bool
	r.locked(func() { due = r.prober.StartProbe(time.Now(), f.Server) })
	if !due {
		return
	}
	reference, ok := r.c.References.Reference(f.Server)
	if !ok || !r.dialer.Start(dialer.Probe{Server: f.Server, Incarnation: f.Incarnation, Reference: reference}) {
		r.counts.probes[prober.Unknown].Add(1)
	}
}

// handleProbe sends the outcome of a probe of this daemon to the aggregators of the backend server.
func (r *Reporter) handleProbe(p dialer.Probe, o prober.Outcome) {
	r.c.Recoverer.Do("probe", 0, func() { r.reportProbe(p, o) })
}

func (r *Reporter) reportProbe(p dialer.Probe, o prober.Outcome) {
	r.counts.probes[o].Add(1)
	if o == prober.Unknown {
		return
	}
	if o != prober.Accepted {
		r.c.Logger.Info("probe of a backend server failed", zap.Uint64("backend-server", uint64(p.Server)), zap.Stringer("address", p.Reference.Server),
			zap.Stringer("outcome", o))
	}
	payload, err := encodeMessage(kindOutcome, wireOutcome{Server: uint64(p.Server), Incarnation: p.Incarnation, Outcome: uint8(o)})
	if err != nil {
		r.c.Logger.Error("outcome of a probe not sent: encoding failed", zap.Error(err))
		return
	}
	self := r.c.Peers.Address()
	peers, _ := r.zone()
	for _, to := range aggregator.Choose(p.Server, append(peers, self)) {
		if to == self {
			r.addOutcome(self, p.Server, p.Incarnation, o)
		} else {
			r.c.Peers.Notify(to, payload)
		}
	}
}

// handleOutcome handles the outcome of a probe of a peer.
func (r *Reporter) handleOutcome(from netip.AddrPort, payload []byte) {
	var w wireOutcome
	if err := decodeContent(payload, &w); err != nil || !prober.Outcome(w.Outcome).IsValid() {
		r.c.Logger.Debug("outcome of a probe dropped: decoding failed", zap.Stringer("peer", from), zap.Error(err))
		return
	}
	if r.dialer != nil {
		r.addOutcome(from, directory.ServerID(w.Server), w.Incarnation, prober.Outcome(w.Outcome))
	}
}

func (r *Reporter) addOutcome(from netip.AddrPort, server directory.ServerID, incarnation int64, o prober.Outcome) {
	var f steerer.Finding
	var reachable bool
	r.locked(func() { f, reachable = r.prober.AddOutcome(time.Now(), from, server, incarnation, o) })
	if reachable {
		r.add(netip.AddrPort{}, []steerer.Finding{f})
		return
	}
	r.conclude(server)
}

// conclude adds the finding that a backend server is unreachable to the evidence of the aggregator if the probes and the flows show it. It reports
// whether they do.
func (r *Reporter) conclude(server directory.ServerID) (ok bool) {
	now := time.Now()
	var f steerer.Finding
	var retry time.Time
	r.locked(func() {
		f, ok, retry = r.prober.Conclude(now, server)
		if now.Sub(r.sweptAt) >= sweepInterval {
			r.sweptAt = now
			r.prober.Sweep(now)
		}
	})
	if !retry.IsZero() {
		r.afterFunc(retry.Sub(now), func() { r.conclude(server) })
	}
	if ok {
		r.c.Logger.Info("backend server is unreachable by probes and flows", zap.Uint64("backend-server", uint64(server)))
		r.add(netip.AddrPort{}, []steerer.Finding{f})
		r.afterFunc(prober.ServerInterval, func() { r.renew(&f) })
	}
	return ok
}

// renew repeats the finding that a backend server is unreachable if a probe has failed since, and probes the backend server otherwise.
func (r *Reporter) renew(f *steerer.Finding) {
	if !r.conclude(f.Server) {
		r.startProbe(f)
	}
}
