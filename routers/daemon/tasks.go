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
	// minStopTime is the minimum duration of a graceful shutdown. Within it, the fabric stops sending datagrams to this balancer,
	// and backend servers start to send readings through other balancers.
	minStopTime = 3 * time.Second
	// drainPollInterval is how often a stopping daemon checks whether its work in progress is finished.
	drainPollInterval = 100 * time.Millisecond
	// defaultGracePeriod applies to process settings without a grace period. Those that modules/configurer reads always have one.
	defaultGracePeriod = 30 * time.Second
)

// tasks runs the long-running tasks of the daemon, each in a goroutine of its own.
type tasks struct {
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
	web      *webServer
}

func newTasks(
	s configurer.Settings, logger *zap.Logger, r rings, sockets *sockets, w *writers, d *decider, c *checker.Checker,
	p *peers.Peers, relay *relayer.Relayer, o *operator.Server, web *webServer,
) *tasks {
	return &tasks{
		settings: s, logger: logger, rings: r, sockets: sockets, writers: w, decider: d, checker: c, peers: p, relayer: relay,
		operator: o, web: web,
	}
}

// run starts all tasks. It returns when ctx ends and the graceful shutdown is complete, or when a task fails.
func (t *tasks) run(ctx context.Context) error {
	if err := t.sockets.bind(ctx); ctx.Err() != nil {
		return nil
	} else if err != nil {
		return err
	}
	taskCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, taskCtx := errgroup.WithContext(taskCtx)
	if err := t.sockets.start(taskCtx, group, t.rings.backend); err != nil {
		return err
	}
	for _, task := range []func(context.Context) error{
		t.decider.Run, t.writers.runCallers, t.writers.runBackend, t.checker.Run, t.peers.Run, t.relayer.Run,
		t.operator.Run, t.web.run,
	} {
		group.Go(func() error { return task(taskCtx) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
			t.stop(taskCtx)
		case <-taskCtx.Done():
		}
		t.sockets.close()
		cancel()
		return nil
	})
	return group.Wait()
}

// stop shuts the balancer down gracefully: it refuses new reservations and reports itself unhealthy, and it continues work in
// progress until that is finished or the grace period is over.
func (t *tasks) stop(ctx context.Context) {
	grace := t.settings.Stop.Grace
	if grace == 0 {
		grace = defaultGracePeriod
	}
	t.logger.Info("stopping", zap.Duration("grace", grace))
	t.web.state.Store(uint32(stateStopping))
	t.peers.Leave()
	started := time.Now()
	_, _ = runQuery(ctx, t.decider, func(now time.Time) bool {
		t.decider.forwarder.Stop(now)
		return true
	})
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for time.Since(started) < grace {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		drained, _ := runQuery(ctx, t.decider, t.decider.forwarder.IsDrained)
		if drained && time.Since(started) >= minStopTime {
			t.logger.Info("stopped", zap.Duration("took", time.Since(started)))
			return
		}
	}
	t.logger.Warn("stopped with work in progress: raise stop.grace", zap.Duration("grace", grace))
}
