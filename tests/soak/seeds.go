package main

// regression is a seed that failed once. The faults that it draws depend on whether links are disturbed.
type regression struct {
	seed  uint64
	links bool
	cause string
}

// regressions are run by -regressions. The order of events inside a run is the machine's, so that a run may pass by chance;
// each cause has a test of its own too.
var regressions = []regression{
	{231, false, "the store turned daemons away while a backend server left: allowed, the bound begins when the store answers again"},
	{232, false, "a paused daemon placed a flow by its old view when it resumed: transporter.TestPause"},
	{242, false, "as 231"},
}
