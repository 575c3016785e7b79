package harness

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/caller"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/verifier"
)

const (
	// openTimeout bounds one attempt to open a feed.
	openTimeout = 5 * time.Second
	// reopenDelay is the wait before the next attempt to open a feed that was not accepted.
	reopenDelay = 200 * time.Millisecond
	// defaultRequestTimeout is the timeout of requests whose load sets none.
	defaultRequestTimeout = 3 * time.Second
	// maxInFlight bounds the requests in flight of one load.
	maxInFlight = 400
	// maxScheduleDelay is the delay behind its schedule after which a load restarts the schedule from the current time. Other
	// programs on the VM can stop this process for a second; catching up would send the requests of that second at once,
	// at many times the rate.
	maxScheduleDelay = 100 * time.Millisecond
	// DefaultMaxParts is the largest number of parts of an answer. It equals the default of the backend server stand-in.
	DefaultMaxParts = 3
)

// FeedLoad describes feeds of one service.
type FeedLoad struct {
	Service string
	Feeds   int
}

// RequestLoad describes requests to one service at random times.
type RequestLoad struct {
	Service    string
	Rate       float64 // requests per second
	Idempotent bool
	Timeout    time.Duration // 0 means 3 s
	Options    string        // appended to the payload, such as ";work=50ms"
	Groups     []int         // caller groups, used in turn; empty means all
}

// TrafficConfig describes the load of a run.
type TrafficConfig struct {
	Seed     uint64
	Feeds    []FeedLoad
	Requests []RequestLoad
}

// FeedRecord is what the caller of one feed observed.
type FeedRecord struct {
	Service, Topic                 string
	OpenedAt                       time.Time // zero: never accepted
	FailedOpens                    int       // failed attempts to open it
	Readings                       int
	LastNumber                     uint64
	LostReadings, RepeatedReadings int
	ForeignReadings                int           // readings with content of another service or topic
	LongestGap                     time.Duration // between readings, up to the end of the run
	EndCause                       string        // why it ended before the caller closed it
	Stats                          caller.FeedStats
}

// RequestRecord is what the caller of one request observed.
type RequestRecord struct {
	Service       string
	CallID        string
	Key           string
	Group         int
	Idempotent    bool
	StartedAt     time.Time
	Latency       time.Duration
	Outcome       caller.Outcome
	Cause         framer.Cause
	ForeignAnswer bool // the answer is that of another service
	WrongAnswer   bool // the answer is not the expected one for this call
	Err           string
}

// Records are the records of all callers of a run.
type Records struct {
	Feeds            []FeedRecord
	Requests         []RequestRecord
	MaxScheduleDelay time.Duration // longest delay of a request behind its scheduled time
}

// Progress holds the counts of a run so far.
type Progress struct{ OpenFeeds, Readings, Requests, Answered int }

// Traffic is load that runs until Stop.
type Traffic struct {
	cluster *Cluster
	config  TrafficConfig
	cancel  context.CancelFunc
	group   errgroup.Group
	callers []*caller.Caller

	mu       sync.Mutex
	records  Records
	progress Progress
}

// StartTraffic starts load on the cluster.
func (c *Cluster) StartTraffic(config TrafficConfig) (*Traffic, error) {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Traffic{cluster: c, config: config, cancel: cancel}
	for i, l := range config.Feeds {
		callers, err := t.newCallers(l.Service, 100+i)
		if err != nil {
			t.Stop()
			return nil, err
		}
		for n := range l.Feeds {
			t.group.Go(func() error {
				t.runFeed(ctx, callers[n%len(callers)], l.Service, fmt.Sprintf("%s/topic-%d-%d", l.Service, i, n))
				return nil
			})
		}
	}
	for i, l := range config.Requests {
		callers, err := t.newCallers(l.Service, 1+i)
		if err != nil {
			t.Stop()
			return nil, err
		}
		t.group.Go(func() error { return t.sendRequests(ctx, callers, l, i) })
	}
	return t, nil
}

// newCallers returns one caller for each caller group.
func (t *Traffic) newCallers(service string, hostNumber int) ([]*caller.Caller, error) {
	var list []*caller.Caller
	for group := 1; group <= callerGroups; group++ {
		random := rand.NewChaCha8([32]byte{byte(t.config.Seed), byte(t.config.Seed >> 8), byte(group), byte(hostNumber)})
		c, err := caller.New(caller.Config{
			Service: service, Address: t.cluster.ServiceAddress(service),
			LocalAddr: netip.AddrPortFrom(callerIP(group, hostNumber), 0), Random: random,
		})
		if err != nil {
			return nil, err
		}
		t.callers = append(t.callers, c)
		list = append(list, c)
	}
	return list, nil
}

// Stop sends no more requests, waits for the outcomes of those in flight, closes the feeds and returns all records.
func (t *Traffic) Stop() Records {
	t.cancel()
	_ = t.group.Wait()
	for _, c := range t.callers {
		_ = c.Close()
	}
	return t.records
}

// Progress returns the counts so far.
func (t *Traffic) Progress() Progress {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.progress
}

func (t *Traffic) updateProgress(change func(*Progress)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.progress)
}

// runFeed opens one feed and verifies its readings until ctx ends.
func (t *Traffic) runFeed(ctx context.Context, c *caller.Caller, service, topic string) {
	r := FeedRecord{Service: service, Topic: topic}
	if f := t.openFeed(ctx, c, &r); f != nil {
		t.updateProgress(func(p *Progress) { p.OpenFeeds++ })
		t.readFeed(ctx, f, &r)
		r.Stats = f.Stats()
		_ = f.Close()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records.Feeds = append(t.records.Feeds, r)
}

func (t *Traffic) openFeed(ctx context.Context, c *caller.Caller, r *FeedRecord) *caller.Feed {
	for ctx.Err() == nil {
		attemptCtx, cancel := context.WithTimeout(ctx, openTimeout)
		f, err := c.OpenFeed(attemptCtx, r.Topic)
		cancel()
		if err == nil {
			r.OpenedAt = time.Now()
			return f
		}
		r.FailedOpens++
		select {
		case <-ctx.Done():
		case <-time.After(reopenDelay):
		}
	}
	return nil
}

// readFeed reads and verifies the readings of a feed until it fails or ctx ends.
func (t *Traffic) readFeed(ctx context.Context, f *caller.Feed, r *FeedRecord) {
	last := r.OpenedAt
	for {
		reading, err := f.Next(ctx)
		now := time.Now()
		r.LongestGap = max(r.LongestGap, now.Sub(last))
		last = now
		if err != nil {
			if ctx.Err() == nil {
				r.EndCause = err.Error()
			}
			return
		}
		t.updateProgress(func(p *Progress) { p.Readings++ })
		r.addReading(reading)
	}
}

// addReading verifies and counts one reading.
func (r *FeedRecord) addReading(reading caller.Reading) {
	switch {
	case r.LastNumber == 0:
	case reading.Number <= r.LastNumber:
		r.RepeatedReadings++
	case reading.Number > r.LastNumber+1:
		r.LostReadings += int(reading.Number - r.LastNumber - 1)
	}
	if !bytes.Equal(reading.Payload, verifier.Reading(r.Service, r.Topic, reading.Number)) {
		r.ForeignReadings++
	}
	r.LastNumber = max(r.LastNumber, reading.Number)
	r.Readings++
}

// sendRequests sends requests at exponentially distributed intervals until ctx ends.
func (t *Traffic) sendRequests(ctx context.Context, callers []*caller.Caller, l RequestLoad, loadIndex int) error {
	random := rand.New(rand.NewPCG(t.config.Seed, uint64(loadIndex)+1))
	if l.Timeout == 0 {
		l.Timeout = defaultRequestTimeout
	}
	groups := l.Groups
	if len(groups) == 0 {
		for group := range callers {
			groups = append(groups, group+1)
		}
	}
	var inFlight errgroup.Group
	inFlight.SetLimit(maxInFlight)
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return inFlight.Wait()
		case <-time.After(time.Until(next)):
		}
		if delay := time.Since(next); delay > maxScheduleDelay {
			t.recordScheduleDelay(delay)
			next = time.Now()
		}
		group := groups[n%len(groups)]
		key := fmt.Sprintf("%s/request-%d-%d", l.Service, loadIndex, n)
		inFlight.Go(func() error { t.sendRequest(callers[group-1], l, group, key); return nil })
	}
}

func (t *Traffic) recordScheduleDelay(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records.MaxScheduleDelay = max(t.records.MaxScheduleDelay, d)
}

func (t *Traffic) sendRequest(c *caller.Caller, l RequestLoad, group int, key string) {
	ctx, cancel := context.WithTimeout(context.Background(), l.Timeout)
	defer cancel()
	r := RequestRecord{Service: l.Service, Key: key, Group: group, Idempotent: l.Idempotent, StartedAt: time.Now()}
	payload := []byte(key + l.Options)
	result, err := c.Request(ctx, payload, caller.RequestOptions{Idempotent: l.Idempotent})
	r.Latency, r.CallID, r.Outcome, r.Cause = time.Since(r.StartedAt), verifier.FormatCallID(result.CallID), result.Outcome, result.Cause
	if err != nil {
		r.Err = err.Error()
	}
	if result.Outcome == caller.Answered {
		r.verifyAnswer(result, payload)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records.Requests = append(t.records.Requests, r)
	t.progress.Requests++
	if r.Outcome == caller.Answered {
		t.progress.Answered++
	}
}

// verifyAnswer compares an answer with the expected one.
func (r *RequestRecord) verifyAnswer(result caller.Result, payload []byte) {
	parts := verifier.PartCount(result.CallID, payload, DefaultMaxParts)
	if bytes.Equal(result.Answer, verifier.Answer(r.Service, result.CallID, parts)) {
		return
	}
	r.WrongAnswer = true
	r.ForeignAnswer = !strings.HasPrefix(string(result.Answer), r.Service+"|")
}

// WaitFeeds waits until at least n feeds are open.
func (t *Traffic) WaitFeeds(n int, timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if t.Progress().OpenFeeds >= n {
			return nil
		}
	}
	return eris.Errorf("%d of %d feeds are open after %s", t.Progress().OpenFeeds, n, timeout)
}
