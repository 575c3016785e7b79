package main

// regression is a seed that failed in the past. Which faults it draws depends on whether link faults are among them.
type regression struct {
	seed       uint64
	linkFaults bool
	cause      string
}

// regressions are run by -regressions. The scheduling of the processes is not repeatable, so a run may pass by chance. Therefore
// each cause also has a test of its own.
var regressions = []regression{
	{231, false, "the store rejected the daemons while a backend server left: allowed, the time limit begins when the store answers again"},
	{232, false, "a paused daemon placed a flow by its stale view when it resumed: transporter.TestProcessPause"},
	{242, false, "same cause as seed 231"},
}
