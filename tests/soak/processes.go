package main

import (
	"os"
	"time"

	"github.com/bluebelldyke/bluebelldyke/tests/harness"
	"github.com/bluebelldyke/bluebelldyke/tests/harness/deployment"
)

const (
	// maxEarlySignal is the longest time from the start of a process to a signal that it gets early.
	maxEarlySignal = 200 * time.Millisecond
	// maxIncomplete is the longest time that a settings file stays incomplete.
	maxIncomplete = 300 * time.Millisecond
	killTimeout   = time.Second
	// outputTimeout bounds the wait for the first output of a process, and outputPollInterval is the time between two looks at it.
	outputTimeout      = 2 * time.Second
	outputPollInterval = 200 * time.Microsecond
)

// processFaults returns the faults of starts, stops and settings of processes.
func (in *injector) processFaults() []fault {
	return []fault{
		{"early-signal", in.signalEarly}, {"early-signal", in.signalEarly}, {"early-signal-all", in.signalAllEarly},
		{"stop-twice", in.stopTwice}, {"stop-hangup", in.hangUpStopping}, {"start-beside", in.startBesidePredecessor},
		{"settings-cut", in.cutSettings}, {"settings-cut-start", in.cutSettingsAtStart}, {"settings-change", in.changeSettings},
	}
}

// replaceProcess kills a daemon and starts it at once.
func (in *injector) replaceProcess(daemon *deployment.Daemon) {
	daemon.Kill()
	if _, err := daemon.WaitExit(killTimeout); err != nil {
		in.err = err
		return
	}
	in.start(daemon)
}

func (in *injector) start(daemon *deployment.Daemon) {
	if err := in.StartDaemon(daemon); err != nil {
		in.err = err
	}
}

// sendEarly sends one to three signals to a process that was just started, most of them in its first milliseconds.
func (in *injector) sendEarly(p *harness.Process) {
	in.awaitOutput(p)
	for range 1 + in.random.IntN(3) {
		u := in.random.Float64()
		time.Sleep(time.Duration(u * u * u * float64(maxEarlySignal)))
		if in.random.IntN(3) == 0 {
			p.Terminate()
		} else {
			p.Hangup()
		}
	}
}

// awaitOutput waits for the first output of a process if the option says so. Until the runtime of a program has started, SIGHUP ends it by its
// default action.
func (in *injector) awaitOutput(p *harness.Process) {
	for end := time.Now().Add(outputTimeout); in.signalsAfterOutput && !p.HasOutput() && p.Running() && time.Now().Before(end); {
		time.Sleep(outputPollInterval)
	}
}

func (in *injector) signalEarly() {
	if daemon := in.pickDaemon(); daemon != nil {
		in.replaceProcess(daemon)
		in.sendEarly(daemon.Process)
	}
}

// signalAllEarly replaces all serving daemons and hangs them up, as when settings change while the whole fleet starts.
func (in *injector) signalAllEarly() {
	var started []*deployment.Daemon
	for _, daemon := range in.Daemons {
		if !in.unavailable[daemon] && daemon.IsServing() {
			in.replaceProcess(daemon)
			started = append(started, daemon)
		}
	}
	for _, daemon := range started {
		in.awaitOutput(daemon.Process)
		daemon.Hangup()
	}
}

// stopTwice sends SIGTERM again while a daemon drains.
func (in *injector) stopTwice() {
	if daemon := in.pickDaemon(); daemon != nil {
		process := daemon.Process
		process.Terminate()
		for range 1 + in.random.IntN(2) {
			in.schedule(0, 2*time.Second, process.Terminate)
		}
	}
}

// hangUpStopping sends SIGHUP while a daemon drains.
func (in *injector) hangUpStopping() {
	if daemon := in.pickDaemon(); daemon != nil {
		process := daemon.Process
		process.Terminate()
		for range 1 + in.random.IntN(3) {
			in.schedule(0, 2*time.Second, process.Hangup)
		}
	}
}

// startBesidePredecessor starts a daemon at the addresses of its predecessor, which drains.
func (in *injector) startBesidePredecessor() {
	if daemon := in.pickDaemon(); daemon != nil {
		daemon.Terminate()
		time.Sleep(time.Duration(in.random.Int64N(int64(maxEarlySignal))))
		in.start(daemon)
	}
}

// withIncompleteSettings runs a function while the settings file of a daemon is incomplete, as one that is rewritten in place.
func (in *injector) withIncompleteSettings(daemon *deployment.Daemon, run func()) {
	content, err := os.ReadFile(daemon.SettingsFile())
	if err != nil {
		in.err = err
		return
	}
	in.writeSettings(daemon, content[:in.random.IntN(len(content))*in.random.IntN(2)])
	run()
	time.Sleep(time.Duration(in.random.Int64N(int64(maxIncomplete))))
	in.writeSettings(daemon, content)
}

func (in *injector) writeSettings(daemon *deployment.Daemon, content []byte) {
	if err := os.WriteFile(daemon.SettingsFile(), content, 0o600); err != nil {
		in.err = err
	}
}

// cutSettings rewrites the settings of a running daemon in place, with a signal before or after the end, or none.
func (in *injector) cutSettings() {
	if daemon := in.pickDaemon(); daemon != nil {
		signalAt := in.random.IntN(3)
		in.withIncompleteSettings(daemon, func() {
			if signalAt == 0 {
				daemon.Hangup()
			}
		})
		if signalAt == 1 {
			daemon.Hangup()
		}
	}
}

// cutSettingsAtStart rewrites the settings in place while a daemon starts.
func (in *injector) cutSettingsAtStart() {
	if daemon := in.pickDaemon(); daemon != nil {
		in.withIncompleteSettings(daemon, func() { in.replaceProcess(daemon) })
	}
}

// changeSettings changes the settings of a daemon for some time: the seeds, and with them whether it is told by SIGHUP.
func (in *injector) changeSettings() {
	daemon := in.pickDaemon()
	if daemon == nil {
		return
	}
	content, err := os.ReadFile(daemon.SettingsFile())
	if err != nil {
		in.err = err
		return
	}
	hangUp := in.random.IntN(2) == 0
	tell := func() {
		if hangUp {
			daemon.Hangup()
		}
	}
	in.writeSettings(daemon, append([]byte("# changed\n"), seedsLine.ReplaceAll(content, []byte(`seeds = ["127.0.0.1:9"]`))...))
	tell()
	in.schedule(200*time.Millisecond, 3*time.Second, func() {
		in.writeSettings(daemon, content)
		tell()
	})
}
