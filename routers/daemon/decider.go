package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/models/fleet"
	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/models/view"
	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/modules/recoverer"
	"github.com/bluebelldyke/bluebelldyke/routers/checker"
	"github.com/bluebelldyke/bluebelldyke/routers/peers"
	"github.com/bluebelldyke/bluebelldyke/routers/transceiver"
	"github.com/bluebelldyke/bluebelldyke/services/examiner"
	"github.com/bluebelldyke/bluebelldyke/services/forwarder"
	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

const (
	// tickInterval is how often expired timeouts are handled.
	tickInterval = 10 * time.Millisecond
	// pauseThreshold is the delay of a tick above which the process is considered to have been paused.
	pauseThreshold = time.Second
	// placementPauseTimeout limits how long placement stays paused after a pause of the process, until the view is confirmed. It
	// equals relayer.ConfirmTimeout, the timeout of the queries that confirm the view.
	placementPauseTimeout = 500 * time.Millisecond
	// flushThreshold is the number of collected actions from which the output is passed to the writers although datagrams wait.
	flushThreshold = 64
	// maxFailedTicks is the number of failed ticks in a row, those of a second, after which the process ends.
	maxFailedTicks = 100
)

// refresher fetches newer settings and reports how fresh the view is.
type refresher interface {
	Refresh(document uint32, announcedRevision uint64)
	ConfirmedWithin(age time.Duration) bool
	PossiblyStale() bool
}

// candidateSetter receives the VM list, whose balancers are candidates for gossip.
type candidateSetter interface {
	SetCandidates(list *fleet.List)
}

// gateForwarder forwards caller datagrams to the balancer that their token names as the gate, and receives those that other
// balancers forward to this one.
type gateForwarder interface {
	ForwardToGate(gate netip.AddrPort, f peers.GateForward) bool
	GateForwards() <-chan peers.GateForward
}

// decider owns all mutable state of the data path. Its methods run on the decision goroutine, the one of Run.
type decider struct {
	logger        *zap.Logger
	forwarder     *forwarder.Forwarder
	scheduler     *scheduler.Scheduler
	sockets       *sockets
	writers       *writers
	checker       *checker.Checker
	views         <-chan *view.View
	refresher     refresher
	gateForwarder gateForwarder
	web           *webServer
	candidates    candidateSetter
	recoverer     *recoverer.Recoverer
	rings

	output      *output
	current     *view.View
	lastTick    time.Time
	pausedSince time.Time // when the last pause was detected; zero after the view was confirmed
	failedTicks int       // in a row
}

// Run handles events until ctx ends.
func (d *decider) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	d.output = newOutput()
	d.lastTick = time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case b := <-d.entry.Items():
			d.handleCallerBatch(b)
		case b := <-d.backend.Items():
			d.handleBackendBatch(b)
		case f := <-d.gateForwarder.GateForwards():
			d.recoverer.Do("forwarded-datagram", len(f.Datagram), func() {
				d.detectPause(time.Now())
				d.forwarder.HandleForwardedDatagram(time.Now(), f.Caller, f.Service, f.Datagram, &d.output.actions)
			})
		case v := <-d.views:
			d.recoverer.Do("settings", 0, func() { d.setView(v) })
		case u := <-d.healthUpdates.Items():
			d.recoverer.Do("health-update", 0, func() { d.handleHealthUpdate(u) })
		case query := <-d.queries.Items():
			d.recoverer.Do("query", 0, func() { query(time.Now()) })
		case <-ticker.C:
			if err := d.runTick(); err != nil {
				return err
			}
		}
		if d.noDatagramsWaiting() || len(d.output.actions.List) >= flushThreshold {
			if !d.recoverer.Do("output", 0, d.flush) {
				d.output = newOutput()
			}
		}
	}
}

// runTick runs tick. A tick handles what is due in order, so one that always fails would leave all that is due later undone; a new
// process has a new state.
func (d *decider) runTick() error {
	if d.recoverer.Do("tick", 0, d.tick) {
		d.failedTicks = 0
		return nil
	}
	if d.failedTicks++; d.failedTicks < maxFailedTicks {
		return nil
	}
	return eris.Errorf("the last %d ticks failed: report the log line \"input dropped because of a panic\"", d.failedTicks)
}

// noDatagramsWaiting reports whether no datagram is queued. Collected output is then flushed, because no further datagram will soon
// fill it up.
func (d *decider) noDatagramsWaiting() bool { return d.entry.Len() == 0 && d.backend.Len() == 0 }

func (d *decider) handleCallerBatch(b *transceiver.Batch) {
	now := time.Now()
	d.detectPause(now)
	for _, datagram := range b.Datagrams {
		d.recoverer.Do("caller-datagram", len(datagram.Data), func() {
			d.forwarder.HandleCallerDatagram(now, datagram.From, b.ServiceAddress, datagram.Data, &d.output.actions)
		})
	}
	b.Release()
}

func (d *decider) handleBackendBatch(b *transceiver.Batch) {
	now := time.Now()
	d.detectPause(now) // a refusal by a backend server leads to a retry, which needs a placement
	for _, datagram := range b.Datagrams {
		d.recoverer.Do("backend-datagram", len(datagram.Data), func() {
			d.forwarder.HandleBackendDatagram(now, datagram.From, datagram.Data, &d.output.actions)
		})
	}
	b.Release()
}

// detectPause pauses placement and requests a refresh if the process or the VM was paused, because the view may not include that a
// backend server left meanwhile. The monotonic clock behind lastTick stands still while a VM is paused, so the refresher compares
// wall clock times.
func (d *decider) detectPause(now time.Time) {
	if now.Sub(d.lastTick) > pauseThreshold || d.refresher.PossiblyStale() {
		d.pausedSince = now
		d.forwarder.PausePlacement(now.Add(placementPauseTimeout))
		d.refresher.Refresh(settings.RootDocumentID, d.forwarder.Revision()+1)
		d.lastTick = now
	}
}

func (d *decider) tick() {
	now := time.Now()
	d.detectPause(now)
	d.lastTick = now
	if !d.pausedSince.IsZero() && d.refresher.ConfirmedWithin(now.Sub(d.pausedSince)) {
		d.pausedSince = time.Time{}
		// The confirmation may have yielded a newer view, which is in the channel by now.
		select {
		case v := <-d.views:
			d.setView(v)
		default:
		}
		d.forwarder.ResumePlacement()
	}
	d.forwarder.Tick(now, &d.output.actions)
	d.sockets.closeDrained(now)
	d.sockets.retryUnopened(now)
	d.updateState()
}

// updateState changes the state from starting to serving as soon as the settings are applied and a service address is served. While a
// predecessor holds all of them, it serves the callers.
func (d *decider) updateState() {
	if d.current != nil && d.sockets.isServing() && d.web.state.CompareAndSwap(uint32(stateStarting), uint32(stateServing)) {
		d.logger.Info("serving", zap.Uint64("settings-revision", d.current.Tree.Revision))
	}
}

func (d *decider) setView(v *view.View) {
	now := time.Now()
	if err := d.forwarder.SetView(now, v); err != nil {
		d.logger.Error("settings not applied", zap.Uint64("revision", v.Tree.Revision), zap.Error(err))
		return
	}
	d.current = v
	d.candidates.SetCandidates(v.VMList)
	d.sockets.update(now, v)
	d.checker.SetBackendServers(v.Tree.BackendServers)
	d.updateState()
}

// healthStateOf maps the states of health updates to those of the scheduler.
var healthStateOf = map[packer.Health]scheduler.HealthState{
	packer.HealthLive: scheduler.HealthLive, packer.HealthWarming: scheduler.HealthWarming,
	packer.HealthDraining: scheduler.HealthDraining, packer.HealthFailed: scheduler.HealthFailed,
}

func (d *decider) handleHealthUpdate(u examiner.HealthUpdate) {
	now := time.Now()
	d.scheduler.Observe(now, scheduler.Observation{
		Kind: scheduler.HealthCombined, Service: u.Service, BackendServer: u.BackendServer, Health: healthStateOf[u.State],
		HasLoad: u.HasLoad, Load: scheduler.Load{Running: u.Running, Queued: u.Queued},
	})
	d.forwarder.HandleHealth(now, u.BackendServer, u.Incarnation, u.State == packer.HealthDraining)
}

// flush executes the collected actions: it passes datagrams to the writers, and other actions to the refresher or the gate forwarder.
func (d *decider) flush() {
	if len(d.output.actions.List) == 0 {
		return
	}
	for _, a := range d.output.actions.List {
		switch a.Kind {
		case forwarder.RefreshView:
			d.refresher.Refresh(a.Document, a.Revision)
		case forwarder.ForwardToGate:
			d.gateForwarder.ForwardToGate(a.To, peers.GateForward{
				Caller: a.Caller, Service: a.Service, Datagram: append([]byte(nil), a.Data...),
			})
		}
	}
	d.writers.push(d.output)
	d.output = newOutput()
}

// runQuery runs the query on the decision goroutine and returns its result. A query whose result is no longer awaited may still run, so its
// result is passed by value.
func runQuery[T any](ctx context.Context, d *decider, query func(now time.Time) T) (T, error) {
	var none T
	results := make(chan T, 1)
	if err := d.queries.Push(ctx, func(now time.Time) { results <- query(now) }); err != nil {
		return none, err
	}
	select {
	case result := <-results:
		return result, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}
