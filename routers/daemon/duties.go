package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/configurer"
	"github.com/bluebelldyke/bluebelldyke/routers/checker"
	"github.com/bluebelldyke/bluebelldyke/routers/operator"
	"github.com/bluebelldyke/bluebelldyke/routers/peers"
	"github.com/bluebelldyke/bluebelldyke/routers/relayer"
)

const (
	// lingerTime is the least time between the begin and the end of a planned stop. The fabric needs it to stop sending,
	// and backend servers to send readings through other balancers.
	lingerTime = 3 * time.Second
	// idleInterval is how often a stopping daemon looks whether its work has ended.
	idleInterval = 100 * time.Millisecond
	defaultGrace = 30 * time.Second
)

// duties runs one goroutine for each duty of the daemon.
type duties struct {
	settings configurer.Settings
	logger   *zap.Logger
	rings    rings
	sockets  *sockets
	writers  *writers
	decider  *decider
	checker  *checker.Checker
	peers    *peers.Peers
	relayer  *relayer.Relayer
	operator *operator.Server
	web      *web
}

func newDuties(
	s configurer.Settings, logger *zap.Logger, r rings, k *sockets, w *writers, d *decider, c *checker.Checker,
	p *peers.Peers, relay *relayer.Relayer, o *operator.Server, web *web,
) *duties {
	return &duties{
		settings: s, logger: logger, rings: r, sockets: k, writers: w, decider: d, checker: c, peers: p, relayer: relay,
		operator: o, web: web,
	}
}

// run starts all duties and returns when ctx has ended and the planned stop is done, or when a duty fails.
func (d *duties) run(ctx context.Context) error {
	working, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, working := errgroup.WithContext(working)
	if err := d.sockets.start(working, group, d.rings.backend); err != nil {
		return err
	}
	for _, duty := range []func(context.Context) error{
		d.decider.Run, d.writers.runCallers, d.writers.runBackend, d.checker.Run, d.peers.Run, d.relayer.Run,
		d.operator.Run, d.web.run,
	} {
		group.Go(func() error { return duty(working) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
			d.stop(working)
		case <-working.Done():
		}
		d.sockets.close()
		cancel()
		return nil
	})
	return group.Wait()
}

// stop carries out a planned stop: no new reservations, no health, and work goes on until it has ended or the grace
// time is over.
func (d *duties) stop(ctx context.Context) {
	grace := d.settings.Stop.Grace
	if grace == 0 {
		grace = defaultGrace
	}
	d.logger.Info("stopping", zap.Duration("grace", grace))
	d.web.state.Store(uint32(stateStopping))
	d.peers.Leave()
	begun := time.Now()
	_ = d.decider.ask(ctx, d.decider.forwarder.Stop)
	ticker := time.NewTicker(idleInterval)
	defer ticker.Stop()
	for time.Since(begun) < grace {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		idle := false
		_ = d.decider.ask(ctx, func(now time.Time) { idle = d.decider.forwarder.IsDrained(now) })
		if idle && time.Since(begun) >= lingerTime {
			d.logger.Info("stopped", zap.Duration("took", time.Since(begun)))
			return
		}
	}
	d.logger.Warn("stopped with work in progress: raise stop.grace", zap.Duration("grace", grace))
}
