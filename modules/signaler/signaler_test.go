package signaler

import "testing"

// TestSubcommands guards against queries that SIGINT does not end because their process catches the signals of a daemon.
func TestSubcommands(t *testing.T) {
	for _, args := range [][]string{{"bluebelldyke"}, {"bluebelldyke", "status"}, {"bluebelldyke", "--version"}} {
		if catchEarly(args) != nil {
			t.Errorf("%v: signals are caught", args)
		}
	}
	for _, name := range []string{"direct", "serve"} {
		if catchEarly([]string{"bluebelldyke", name}) == nil {
			t.Errorf("%s: signals are not caught", name)
		}
	}
}
