package deployment

import (
	"fmt"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/bluebelldyke/bluebelldyke/tests/harness"
)

// restartDelay is the time from the end of a process until the supervisor starts the daemon again, as on the platform.
const restartDelay = 500 * time.Millisecond

// supervised is a process of a daemon that has not been seen to end.
type supervised struct {
	*harness.Process
	daemon *Daemon
}

// Supervise records the processes that have ended, kills those that outlive the grace period after SIGTERM, and starts daemons again whose
// process has ended. It has to be called every few milliseconds, by the goroutine that starts, holds and releases daemons.
func (d *Deployment) Supervise() error {
	var running []supervised
	for _, s := range d.processes {
		if s.Running() {
			d.enforceGracePeriod(s)
			running = append(running, s)
			continue
		}
		d.recordEnd(s)
	}
	d.processes = running
	for _, daemon := range d.Daemons {
		if daemon.restartAt.IsZero() || daemon.held || time.Now().Before(daemon.restartAt) {
			continue
		}
		if err := d.StartDaemon(daemon); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) recordEnd(s supervised) {
	end := newEnd(s.daemon.Name, s.Process)
	d.ends = append(d.ends, end)
	if startUp, ok := startUpTime(s.Process); ok {
		d.startUps = append(d.startUps, startUp)
	}
	if s.daemon.Process == s.Process {
		s.daemon.restartAt = time.Now().Add(restartDelay)
	}
}

// enforceGracePeriod kills a process that outlives its grace period, as the platform does. The bound holds for daemons that get all of their
// time, so no violation is recorded for those with a share of a core.
func (d *Deployment) enforceGracePeriod(s supervised) {
	for _, sent := range s.Signals() {
		if sent.Signal == syscall.SIGKILL {
			return
		}
	}
	for _, sent := range s.Signals() {
		if sent.Signal == syscall.SIGTERM && time.Since(s.StartedAt())-sent.After > GracePeriod {
			if d.config.Share == 0 {
				d.Violations.Add(fmt.Sprintf("%s (process %d) is still running %s after SIGTERM", s.daemon.Name, s.ID(), GracePeriod))
			}
			s.Kill()
			return
		}
	}
}

// Hold keeps the supervisor from starting a daemon again until Release.
func (d *Deployment) Hold(daemon *Daemon) { daemon.held = true }

// Release ends Hold. A daemon whose process has ended is started at once.
func (d *Deployment) Release(daemon *Daemon) {
	daemon.held = false
	if !daemon.restartAt.IsZero() {
		daemon.restartAt = time.Now()
	}
}

// IsServing reports whether the newest process of a daemon is running and was not told to stop.
func (daemon *Daemon) IsServing() bool {
	if daemon.held || !daemon.Running() {
		return false
	}
	for _, sent := range daemon.Signals() {
		if sent.Signal == syscall.SIGTERM || sent.Signal == syscall.SIGKILL {
			return false
		}
	}
	return true
}

// Ends returns the ends of all processes that Supervise has recorded.
func (d *Deployment) Ends() []*End { return d.ends }

// StartUps returns the times from the start of a process until it was ready, of all processes that have become ready.
func (d *Deployment) StartUps() []time.Duration {
	list := slices.Clone(d.startUps)
	for _, s := range d.processes {
		if startUp, ok := startUpTime(s.Process); ok {
			list = append(list, startUp)
		}
	}
	return list
}

func startUpTime(p *harness.Process) (time.Duration, bool) {
	content, err := os.ReadFile(p.LogFile)
	if err != nil {
		return 0, false
	}
	at, ok := readyTime(string(content))
	return at.Sub(p.StartedAt()), ok
}
