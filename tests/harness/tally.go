package harness

import (
	"fmt"
	"strings"
	"time"

	"github.com/bluebelldyke/bluebelldyke/caller"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
)

// maxReadingGap is the longest time between two readings of a feed that does not count as broken.
const maxReadingGap = 3 * time.Second

// Tally is the result of a run, from the records of the callers and the ledgers of the backend servers only.
type Tally struct {
	OpenedFeeds, BrokenFeeds int
	UnopenedFeeds            int // feeds that no backend server accepted
	Moves                    int
	// WrongService counts packets that a backend server refused because they named another service, work that a backend
	// server accepted although its payload names another service, and answers and readings of another service.
	WrongService  int
	WrongAnswers  int // answers that belong to another call
	Requests      int // idempotent and non-idempotent
	Answered      int
	NotRun        int
	Unknown       int
	Failed        int // idempotent requests without an answer
	DuplicateRuns int // non-idempotent calls with more than one run
	FalseNotRun   int // calls reported as not-run that a backend server ran
	Imbalance     float64
	Violations    []string // one line for each violation of a guarantee
	// Unanswered counts the requests without an answer by service, outcome and cause.
	Unanswered       map[string]int
	MaxScheduleDelay time.Duration // longest delay of a request behind its scheduled time
}

// Failures returns the number of violations of the guarantees.
func (t *Tally) Failures() int {
	return t.BrokenFeeds + t.WrongService + t.WrongAnswers + t.DuplicateRuns + t.FalseNotRun
}

// String returns the tally in one line.
func (t *Tally) String() string {
	return fmt.Sprintf("flows=%d broken-flows=%d wrong-service=%d requests=%d answered=%d not-run=%d unknown=%d doubled=%d "+
		"false-not-run=%d imbalance=%.2f", t.OpenedFeeds, t.BrokenFeeds, t.WrongService, t.Requests, t.Answered, t.NotRun, t.Unknown,
		t.DuplicateRuns, t.FalseNotRun, t.Imbalance)
}

// Tally evaluates the records of a run. The imbalance is that of the backend servers of the named service.
func (c *Cluster) Tally(r Records, service string) (*Tally, error) {
	ledgers, err := c.Ledgers()
	if err != nil {
		return nil, err
	}
	t := &Tally{Unanswered: map[string]int{}, MaxScheduleDelay: r.MaxScheduleDelay}
	for i := range r.Feeds {
		t.addFeed(&r.Feeds[i])
	}
	runs := map[string]int{}
	for _, l := range ledgers {
		t.WrongService += len(l.ForeignRefused) + len(l.ForeignAccepted)
		for _, f := range l.ForeignRefused {
			t.addViolation("packet of service %s at a backend server of %s", f.Authority, l.Service)
		}
		for _, f := range l.ForeignAccepted {
			t.addViolation("payload %s accepted by a backend server of %s", f.Payload, l.Service)
		}
		for _, run := range l.Runs {
			runs[run.CallID]++
		}
	}
	for i := range r.Requests {
		t.addRequest(&r.Requests[i], runs[r.Requests[i].CallID])
	}
	t.Imbalance = c.imbalance(service, ledgers)
	return t, nil
}

func (t *Tally) addViolation(format string, args ...any) {
	t.Violations = append(t.Violations, fmt.Sprintf(format, args...))
}

// breakCauses returns why the feed counts as broken, or "" if it does not.
func (r *FeedRecord) breakCauses() string {
	var causes []string
	if r.EndCause != "" {
		causes = append(causes, "ended: "+r.EndCause)
	}
	if gap := max(r.LongestGap, r.Stats.LongestGap); gap > maxReadingGap {
		causes = append(causes, fmt.Sprintf("stalled for %s", gap.Round(time.Millisecond)))
	}
	if r.LostReadings > 0 || r.RepeatedReadings > 0 {
		causes = append(causes, fmt.Sprintf("lost %d and repeated %d readings", r.LostReadings, r.RepeatedReadings))
	}
	if r.Stats.Reopens > 0 {
		causes = append(causes, fmt.Sprintf("reopened %d times without a move datagram", r.Stats.Reopens))
	}
	return strings.Join(causes, ", ")
}

func (t *Tally) addFeed(r *FeedRecord) {
	if r.OpenedAt.IsZero() {
		t.UnopenedFeeds++
		return
	}
	t.OpenedFeeds++
	t.Moves += r.Stats.Moves
	t.WrongService += r.ForeignReadings
	if r.ForeignReadings > 0 {
		t.addViolation("feed %s: %d readings of another service or topic", r.Topic, r.ForeignReadings)
	}
	if causes := r.breakCauses(); causes != "" {
		t.BrokenFeeds++
		t.addViolation("feed %s: %s", r.Topic, causes)
	}
}

func (t *Tally) addRequest(r *RequestRecord, runs int) {
	t.Requests++
	if r.Outcome != caller.Answered {
		t.Unanswered[fmt.Sprintf("%s %s (%s)", r.Service, r.Outcome, r.Cause)]++
	}
	switch r.Outcome {
	case caller.Answered:
		t.Answered++
	case caller.NotRun:
		t.NotRun++
		if runs > 0 {
			t.FalseNotRun++
			t.addViolation("request %s: not-run (%s), but it ran", r.Key, r.Cause)
		}
	case caller.Unknown:
		t.Unknown++
	default:
		t.Failed++
	}
	if !r.Idempotent && runs > 1 {
		t.DuplicateRuns++
		t.addViolation("request %s: ran %d times", r.Key, runs)
	}
	if r.ForeignAnswer {
		t.WrongService++
		t.addViolation("request %s: answer of another service", r.Key)
	} else if r.WrongAnswer {
		t.WrongAnswers++
		t.addViolation("request %s: answer of another call", r.Key)
	}
}

// imbalance returns how unevenly the work of a service is distributed. The work of a backend server is the number of
// requests that it ran plus the number of feeds that it accepted. Balancers place work in their own availability zone
// first, and the numbers of balancers and backend servers differ between availability zones, so only backend servers of
// the same availability zone are compared. The result is the largest ratio, over the availability zones, of the maximum
// to the mean of the work of those backend servers that were live during the whole run.
func (c *Cluster) imbalance(service string, ledgers []*admin.Ledger) float64 {
	first := c.firstSettingsTime()
	work := map[int][]float64{}
	for i, b := range c.Backends("") {
		if b.Service == service && b.declaredLeavingAt.IsZero() && b.finalLedger == nil && !b.addedAt.After(first) {
			work[b.Zone] = append(work[b.Zone], float64(len(ledgers[i].Runs)+len(ledgers[i].Feeds)))
		}
	}
	largest := 0.0
	for _, list := range work {
		total, maximum := 0.0, 0.0
		for _, w := range list {
			total, maximum = total+w, max(maximum, w)
		}
		if total > 0 {
			largest = max(largest, maximum/(total/float64(len(list))))
		}
	}
	return largest
}

// firstSettingsTime returns when the first settings were published.
func (c *Cluster) firstSettingsTime() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revisions[0].At
}
