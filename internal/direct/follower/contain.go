package follower

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// restartDelay is the wait before a loop that a panic has ended starts again.
const restartDelay = time.Second

// locked calls g with mu held. A panic in g releases mu.
func (f *Follower) locked(g func()) {
	f.mu.Lock()
	defer f.publishAgesAndUnlock()
	g()
}

// startLoop runs a loop in the group until ctx ends. After a panic the loop starts again.
func (f *Follower) startLoop(ctx context.Context, group *errgroup.Group, name string, run func(context.Context)) {
	group.Go(func() error {
		for ctx.Err() == nil && !f.c.Recoverer.Do(name, 0, func() { run(ctx) }) {
			sleep(ctx, restartDelay, nil)
		}
		return nil
	})
}

// afterFunc calls g after d in a goroutine of its own.
func (f *Follower) afterFunc(d time.Duration, g func()) *time.Timer {
	return time.AfterFunc(d, func() { f.c.Recoverer.Do("timer", 0, g) })
}
