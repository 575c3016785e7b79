package daemon

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/models/fleet"
	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/models/view"
	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/routers/checker"
	"github.com/bluebelldyke/bluebelldyke/routers/peers"
	"github.com/bluebelldyke/bluebelldyke/routers/transceiver"
	"github.com/bluebelldyke/bluebelldyke/services/examiner"
	"github.com/bluebelldyke/bluebelldyke/services/forwarder"
	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

const (
	// tickInterval is how often time-outs are handled.
	tickInterval = 10 * time.Millisecond
	// pauseLimit is the delay of a tick from which the process counts as having been paused.
	pauseLimit = time.Second
	// holdTime bounds how long new work waits for a newer view after a pause.
	holdTime = 500 * time.Millisecond
	// maxActions is the number of actions after which the output is handed to the writers.
	maxActions = 64
)

// refresher asks for newer settings.
type refresher interface {
	Refresh(document uint32, heard uint64)
	ConfirmedWithin(age time.Duration) bool
	Outdated() bool
}

// hintTaker takes the VM list as a hint for whom to contact.
type hintTaker interface {
	SetHints(list *fleet.List)
}

// gateForwarder hands caller datagrams to the balancer that their gate token names.
type gateForwarder interface {
	ForwardToGate(gate netip.AddrPort, f peers.GateForward) bool
	Forwarded() <-chan peers.GateForward
}

// decider is the duty that owns all mutable state of the data path.
type decider struct {
	logger    *zap.Logger
	forwarder *forwarder.Forwarder
	scheduler *scheduler.Scheduler
	sockets   *sockets
	writers   *writers
	checker   *checker.Checker
	views     <-chan *view.View
	refresher refresher
	gates     gateForwarder
	web       *web
	hints     hintTaker
	rings

	out       *output
	current   *view.View
	lastTick  time.Time
	heldSince time.Time
}

// Run decides until ctx ends.
func (d *decider) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	d.out = newOutput()
	d.lastTick = time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case b := <-d.entry.Items():
			d.handleEntry(b)
		case b := <-d.backend.Items():
			d.handleBackend(b)
		case f := <-d.gates.Forwarded():
			d.checkPause(time.Now())
			d.forwarder.HandleForwardedDatagram(time.Now(), f.Caller, f.Service, f.Datagram, &d.out.actions)
		case v := <-d.views:
			d.setView(v)
		case v := <-d.health.Items():
			d.handleHealth(v)
		case query := <-d.queries.Items():
			query(time.Now())
		case <-ticker.C:
			d.tick()
		}
		if d.idle() || len(d.out.actions.List) >= maxActions {
			d.flush()
		}
	}
}

// idle reports whether no datagram waits, so that collected output must not wait either.
func (d *decider) idle() bool { return d.entry.Len() == 0 && d.backend.Len() == 0 }

func (d *decider) handleEntry(b *transceiver.Batch) {
	now := time.Now()
	d.checkPause(now)
	for _, r := range b.Datagrams {
		d.forwarder.HandleCallerDatagram(now, r.From, b.ServiceAddress, r.Data, &d.out.actions)
	}
	b.Release()
}

func (d *decider) handleBackend(b *transceiver.Batch) {
	now := time.Now()
	d.checkPause(now) // a refusal causes a retry, which is new work
	for _, r := range b.Datagrams {
		d.forwarder.HandleBackendDatagram(now, r.From, r.Data, &d.out.actions)
	}
	b.Release()
}

// checkPause holds new work after the process or the VM was paused: its view may have missed that a backend server left.
// A paused VM stops the clock of lastTick too, which is why the refresher compares wall clock times.
func (d *decider) checkPause(now time.Time) {
	if now.Sub(d.lastTick) > pauseLimit || d.refresher.Outdated() {
		d.heldSince = now
		d.forwarder.PausePlacement(now.Add(holdTime))
		d.refresher.Refresh(settings.RootDocumentID, d.forwarder.Revision()+1)
		d.lastTick = now
	}
}

func (d *decider) tick() {
	now := time.Now()
	d.checkPause(now)
	d.lastTick = now
	if !d.heldSince.IsZero() && d.refresher.ConfirmedWithin(now.Sub(d.heldSince)) {
		d.heldSince = time.Time{}
		// The confirmation may have brought a newer view, which lies in the channel by now.
		select {
		case v := <-d.views:
			d.setView(v)
		default:
		}
		d.forwarder.ResumePlacement()
	}
	d.forwarder.Tick(now, &d.out.actions)
	d.sockets.expire(now)
}

func (d *decider) setView(v *view.View) {
	now := time.Now()
	if err := d.forwarder.SetView(now, v); err != nil {
		d.logger.Error("settings not applied", zap.Uint64("revision", v.Tree.Revision), zap.Error(err))
		return
	}
	d.current = v
	d.hints.SetHints(v.VMList)
	d.sockets.update(now, v)
	d.checker.SetBackendServers(v.Tree.BackendServers)
	if d.web.state.CompareAndSwap(uint32(stateStarting), uint32(stateServing)) {
		d.logger.Info("serving", zap.Uint64("settings-revision", v.Tree.Revision))
	}
}

// healthStates maps the states of verdicts.
var healthStates = map[packer.Health]scheduler.HealthState{
	packer.HealthLive: scheduler.HealthLive, packer.HealthWarming: scheduler.HealthWarming,
	packer.HealthDraining: scheduler.HealthDraining, packer.HealthFailed: scheduler.HealthFailed,
}

func (d *decider) handleHealth(v examiner.HealthUpdate) {
	now := time.Now()
	d.scheduler.Observe(now, scheduler.Observation{
		Kind: scheduler.HealthCombined, Service: v.Service, BackendServer: v.BackendServer, Health: healthStates[v.State],
		HasLoad: v.HasLoad, Load: scheduler.Load{Running: v.Running, Queued: v.Queued},
	})
	d.forwarder.HandleHealth(now, v.BackendServer, v.Incarnation, v.State == packer.HealthDraining)
}

// flush hands the collected actions to the writers.
func (d *decider) flush() {
	if len(d.out.actions.List) == 0 {
		return
	}
	for _, a := range d.out.actions.List {
		switch a.Kind {
		case forwarder.RefreshView:
			d.refresher.Refresh(a.Document, a.Revision)
		case forwarder.ForwardToGate:
			d.gates.ForwardToGate(a.To, peers.GateForward{
				Caller: a.Caller, Service: a.Service, Datagram: append([]byte(nil), a.Data...),
			})
		}
	}
	d.writers.push(d.out)
	d.out = newOutput()
}

// ask runs query on the decision goroutine and waits for it.
func (d *decider) ask(ctx context.Context, query func(now time.Time)) error {
	done := make(chan struct{})
	if err := d.queries.Push(ctx, func(now time.Time) { query(now); close(done) }); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
