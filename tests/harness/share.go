package harness

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// sharePeriod is the period in which a process with a share of a core runs once.
const sharePeriod = 100 * time.Millisecond

// LimitShare lets the process run for a share of each period only, from its start until it has exited or ctx ends. It stops the process with
// SIGSTOP for the rest of the period, so that the process sees its time in slices, as under a quota of a small VM. The start lies anywhere in
// the slice of its period.
func (p *Process) LimitShare(ctx context.Context, share float64) {
	running := time.Duration(share * float64(sharePeriod))
	for slice := rand.N(running); ; slice = running {
		if !p.waitSlice(ctx, slice) {
			return
		}
		p.setSliced(syscall.SIGSTOP)
		if !p.waitSlice(ctx, sharePeriod-running) {
			return
		}
		p.setSliced(syscall.SIGCONT)
	}
}

// waitSlice waits for d. It returns false if the process has exited, or, after it has continued the process, if ctx has ended.
func (p *Process) waitSlice(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.done:
		return false
	case <-ctx.Done():
		p.setSliced(syscall.SIGCONT)
		return false
	}
}

// setSliced stops or continues the process, unless Pause has stopped it.
func (p *Process) setSliced(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.paused {
		_ = p.cmd.Process.Signal(s)
	}
}

// Throttle lets the process run only for the given time of each period until stop is called.
func (p *Process) Throttle(run time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { p.LimitShare(ctx, float64(run)/float64(sharePeriod)); return nil })
	return func() { cancel(); _ = group.Wait() }
}
