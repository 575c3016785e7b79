package cmd

import (
	"fmt"
	"time"

	"github.com/bluebelldyke/bluebelldyke/routers/operator"
)

// printViews prints what a daemon with direct return knows from the platform, and its admission control.
func printViews(t table, s operator.Status) {
	t.row()
	t.row("VIEW", "ERA", "REVISION", "VERSION", "AGE", "SOURCE", "READ BY THIS DAEMON")
	for _, v := range s.Views {
		t.row(v.Name, v.Era, v.Revision, v.Version, v.Age.Round(time.Millisecond), v.Source, v.IsReader)
	}
	t.row()
	if len(s.Admission) == 0 {
		return
	}
	t.row("SERVICE", "OVERLOADED", "SIGNAL", "DELAY", "LEVEL", "WAITING")
	for _, a := range s.Admission {
		t.row(a.Service, a.Overloaded, fmt.Sprintf("%.2f", a.Signal), a.Delay.Round(time.Millisecond), fmt.Sprintf("%.1f", a.Level), a.Waiting)
	}
	t.row()
}
