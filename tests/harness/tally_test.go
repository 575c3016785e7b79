package harness_test

import (
	"testing"

	"github.com/bluebelldyke/bluebelldyke/tests/harness"
)

// TestTallyLine guards against a change of the last line of the demo, which scripts parse.
func TestTallyLine(t *testing.T) {
	const want = "flows=1 broken-flows=2 wrong-service=3 requests=4 answered=5 not-run=6 unknown=7 doubled=8 false-not-run=9 " +
		"imbalance=1.10"
	tally := harness.Tally{
		OpenedFeeds: 1, BrokenFeeds: 2, WrongService: 3, Requests: 4, Answered: 5, NotRun: 6, Unknown: 7, DuplicateRuns: 8, FalseNotRun: 9,
		Imbalance: 1.1,
	}
	if got := tally.String(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
