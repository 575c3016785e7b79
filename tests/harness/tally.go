package harness

import (
	"fmt"
	"strings"
	"time"

	"github.com/bluebelldyke/bluebelldyke/caller"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
)

// maxStall is the longest time without a new reading in a feed that counts as unbroken.
const maxStall = 3 * time.Second

// Tally is the result of a run, from the records of the callers and the ledgers of the backend servers only.
type Tally struct {
	Flows, BrokenFlows int
	UnopenedFeeds      int // feeds that no backend server accepted
	Moves              int
	// WrongService counts packets that named another service at a backend server's door, work that a backend server
	// accepted although its payload names another service, and answers and readings of another service.
	WrongService  int
	WrongAnswers  int // answers that are not the one to their call
	Requests      int // of both kinds
	Answered      int
	NotRun        int
	Unknown       int
	Failed        int // idempotent requests without an answer
	DuplicateRuns int // non-idempotent calls with more than one run
	FalseNotRun   int // calls reported as not-run that a backend server ran
	Imbalance     float64
	Faults        []string // one line for each fault
	// Unanswered counts the requests without an answer by service, outcome and cause.
	Unanswered       map[string]int
	MaxScheduleDelay time.Duration // longest delay of a request against its drawn time
}

// Failures returns the number of faults that the guarantees exclude.
func (t *Tally) Failures() int {
	return t.BrokenFlows + t.WrongService + t.WrongAnswers + t.DuplicateRuns + t.FalseNotRun
}

// String returns the tally in one line.
func (t *Tally) String() string {
	return fmt.Sprintf("flows=%d broken-flows=%d wrong-service=%d requests=%d answered=%d not-run=%d unknown=%d doubled=%d "+
		"false-not-run=%d imbalance=%.2f", t.Flows, t.BrokenFlows, t.WrongService, t.Requests, t.Answered, t.NotRun, t.Unknown,
		t.DuplicateRuns, t.FalseNotRun, t.Imbalance)
}

// Tally evaluates a run. The imbalance is that of the backend servers of one service.
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
			t.fault("packet of service %s at a backend server of %s", f.Authority, l.Service)
		}
		for _, f := range l.ForeignAccepted {
			t.fault("payload %s accepted by a backend server of %s", f.Payload, l.Service)
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

func (t *Tally) fault(format string, args ...any) {
	t.Faults = append(t.Faults, fmt.Sprintf(format, args...))
}

// brokenBecause says in which ways a feed was broken, or "".
func (r *FeedRecord) brokenBecause() string {
	var reasons []string
	if r.EndCause != "" {
		reasons = append(reasons, "ended: "+r.EndCause)
	}
	if gap := max(r.LongestGap, r.Stats.LongestGap); gap > maxStall {
		reasons = append(reasons, fmt.Sprintf("stalled for %s", gap.Round(time.Millisecond)))
	}
	if r.LostReadings > 0 || r.RepeatedReadings > 0 {
		reasons = append(reasons, fmt.Sprintf("lost %d and repeated %d readings", r.LostReadings, r.RepeatedReadings))
	}
	if r.Stats.Reopens > 0 {
		reasons = append(reasons, fmt.Sprintf("reopened %d times without a hint", r.Stats.Reopens))
	}
	return strings.Join(reasons, ", ")
}

func (t *Tally) addFeed(r *FeedRecord) {
	if r.OpenedAt.IsZero() {
		t.UnopenedFeeds++
		return
	}
	t.Flows++
	t.Moves += r.Stats.Moves
	t.WrongService += r.ForeignReadings
	if r.ForeignReadings > 0 {
		t.fault("feed %s: %d readings of another service or topic", r.Topic, r.ForeignReadings)
	}
	if why := r.brokenBecause(); why != "" {
		t.BrokenFlows++
		t.fault("feed %s: %s", r.Topic, why)
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
			t.fault("request %s: not-run (%s), but it ran", r.Key, r.Cause)
		}
	case caller.Unknown:
		t.Unknown++
	default:
		t.Failed++
	}
	if !r.Idempotent && runs > 1 {
		t.DuplicateRuns++
		t.fault("request %s: ran %d times", r.Key, runs)
	}
	if r.ForeignAnswer {
		t.WrongService++
		t.fault("request %s: answer of another service", r.Key)
	} else if r.WrongAnswer {
		t.WrongAnswers++
		t.fault("request %s: answer to another call", r.Key)
	}
}

// imbalance returns how unevenly the work of a service is spread. The work of a backend server is the number of requests
// that it ran plus the number of feeds that it accepted. Balancers place work in their own availability zone first, and
// the numbers of balancers and backend servers of an availability zone differ, so only backend servers of the same
// availability zone are compared: the result is the largest, over the availability zones, of maximum / mean of the work
// of those backend servers that were live during the whole run.
func (c *Cluster) imbalance(service string, ledgers []*admin.Ledger) float64 {
	first := c.firstSettings()
	work := map[int][]float64{}
	for i, b := range c.Backends("") {
		if b.Service == service && b.leftAt.IsZero() && b.ended == nil && !b.addedAt.After(first) {
			work[b.Zone] = append(work[b.Zone], float64(len(ledgers[i].Runs)+len(ledgers[i].Feeds)))
		}
	}
	worst := 0.0
	for _, list := range work {
		total, most := 0.0, 0.0
		for _, w := range list {
			total, most = total+w, max(most, w)
		}
		if total > 0 {
			worst = max(worst, most/(total/float64(len(list))))
		}
	}
	return worst
}

// firstSettings returns when the first settings were published.
func (c *Cluster) firstSettings() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revisions[0].At
}
