package harness

import (
	"time"

	"golang.org/x/sync/errgroup"
)

// sharePeriod is the period in which a throttled process runs once.
const sharePeriod = 100 * time.Millisecond

// Throttle lets the process run only for the given time of each 100 ms, like a VM with a share of a core, until stop is called. Pause and
// Resume must not be used meanwhile.
func (p *Process) Throttle(run time.Duration) (stop func()) {
	ended := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		for {
			p.Resume()
			time.Sleep(run)
			select {
			case <-ended:
				return nil
			case <-p.done:
				return nil
			default:
			}
			p.Pause()
			time.Sleep(sharePeriod - run)
		}
	})
	return func() { close(ended); _ = group.Wait() }
}
