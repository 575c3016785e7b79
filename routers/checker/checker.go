// Package checker asks the health endpoints of the backend servers that are assigned to this daemon, and hands the
// verdicts of all checkers to the decision goroutine. The decisions are those of services/examiner.
package checker

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/modules/ring"
	"github.com/bluebelldyke/bluebelldyke/services/examiner"
)

const (
	// pollInterval is how often the checker looks for checks that are due.
	pollInterval = 50 * time.Millisecond
	// maxConcurrent bounds the checks in progress.
	maxConcurrent = 64
	// maxBody bounds how much of a health answer is read, in bytes.
	maxBody        = 4096
	defaultTimeout = 500 * time.Millisecond
	// memberInterval is how often the membership view is looked at.
	memberInterval = 500 * time.Millisecond
	// pauseLimit is the delay of a time-out from which the process counts as having been paused.
	pauseLimit = time.Second
	// idleTimeout closes connections to backend servers that are no longer checked. With the longest interval of 1 min,
	// a shorter time would make each check open a connection.
	idleTimeout = 90 * time.Second
)

// health is the wire form of a health answer.
type health struct {
	Service     string `json:"service"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Running     int    `json:"running"`
	Queued      int    `json:"queued"`
}

// Members is the membership view of the own availability zone.
type Members interface {
	// Checkers returns the live members that are not leaving, with this daemon unless it is leaving.
	Checkers() []examiner.Member
}

// Config holds what a Checker is made of.
type Config struct {
	Self             netip.AddrPort // peer address
	AvailabilityZone string
	Incarnation      uint64 // process start time in Unix ms
	Members          Members
	Random           *rand.Rand
	HealthUpdates    *ring.Ring[examiner.HealthUpdate]
	// Dial replaces the TCP dialer; nil means net.Dialer.
	Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	// Meter is optional.
	Meter metric.Meter
}

// Checker checks the backend servers that are assigned to this daemon, and joins the results with the reports of other
// daemons. It is safe for concurrent use.
type Checker struct {
	verdicts *ring.Ring[examiner.HealthUpdate]
	members  Members
	client   *http.Client

	mu       sync.Mutex
	examiner *examiner.Examiner
	targets  []settings.BackendServer
}

// New returns a Checker without backend servers.
func New(c Config) (*Checker, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout}
	if c.Dial != nil {
		transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
			to, err := netip.ParseAddrPort(address)
			if err != nil {
				return nil, eris.Wrapf(err, "health address %s", address)
			}
			return c.Dial(ctx, to)
		}
	}
	k := &Checker{
		verdicts: c.HealthUpdates, members: c.Members, client: &http.Client{Transport: transport},
		examiner: examiner.New(examiner.Config{
			Self: c.Self, AvailabilityZone: c.AvailabilityZone, Incarnation: c.Incarnation, Random: c.Random,
		}),
	}
	if c.Meter == nil {
		return k, nil
	}
	return k, k.register(c.Meter)
}

// SetBackendServers replaces the backend servers. Those without a health address are never checked.
func (c *Checker) SetBackendServers(servers []settings.BackendServer) {
	list := make([]examiner.Server, 0, len(servers))
	for _, s := range servers {
		if !s.HealthAddress.IsValid() {
			continue
		}
		list = append(list, examiner.Server{
			Service: s.Service, Address: s.Address, AvailabilityZone: s.AvailabilityZone,
			Interval: s.Tunables.HealthInterval,
		})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets = servers
	c.examiner.SetServers(time.Now(), list)
}

// Reports returns the health reports for the next datagram to a member of the own availability zone.
func (c *Checker) Reports(now time.Time) []packer.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.examiner.Reports(now)
}

// Reported takes the health reports of a datagram of a member of the own availability zone.
func (c *Checker) Reported(now time.Time, reports []packer.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.examiner.ReceiveReports(now, reports)
}

// Counts returns the counters of the examiner.
func (c *Checker) Counts() examiner.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.examiner.Counts()
}

// Run checks until ctx ends.
func (c *Checker) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrent + 1)
	group.Go(func() error { return c.schedule(ctx, group) })
	return group.Wait()
}

func (c *Checker) schedule(ctx context.Context, group *errgroup.Group) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var looked time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if now.Sub(looked) >= memberInterval {
				looked = now
				members := c.members.Checkers() // not under the lock: the peer socket holds its own one when it asks for reports
				c.mu.Lock()
				c.examiner.SetMembers(now, members)
				c.mu.Unlock()
			}
			c.step(ctx, now, group)
		}
	}
}

// step starts a check that is due and hands over the verdicts that are new.
func (c *Checker) step(ctx context.Context, now time.Time, group *errgroup.Group) {
	c.mu.Lock()
	address, due := c.examiner.NextCheck(now)
	var target settings.BackendServer
	if due {
		// A search is cheap enough at a few checks a second; an index would take megabytes for a large fleet.
		i := slices.IndexFunc(c.targets, func(t settings.BackendServer) bool { return t.Address == address })
		target = c.targets[i]
	}
	verdicts := c.examiner.HealthUpdates(now)
	c.mu.Unlock()
	if due {
		group.TryGo(func() error { c.check(ctx, target); return nil })
	}
	for _, v := range verdicts {
		c.verdicts.TryPush(v)
	}
}

func (c *Checker) check(ctx context.Context, t settings.BackendServer) {
	timeout := t.Tunables.HealthTimeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started := time.Now()
	result := examiner.Result{State: packer.HealthFailed}
	if h, ok := c.ask(bounded, t.HealthAddress); ok && h.Service == t.Service {
		result = examiner.Result{State: h.state(), Incarnation: h.Incarnation, Running: h.Running, Queued: h.Queued}
	}
	now := time.Now()
	if ctx.Err() != nil || now.Sub(started) > timeout+pauseLimit {
		return // the process was paused, or ends: the answer may have come in time
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.examiner.RecordResult(now, t.Address, result)
}

func (h *health) state() packer.Health {
	switch h.State {
	case "draining":
		return packer.HealthDraining
	case "warming":
		return packer.HealthWarming
	}
	return packer.HealthLive
}

func (c *Checker) ask(ctx context.Context, address netip.AddrPort) (health, bool) {
	var h health
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/health", nil)
	if err != nil {
		return h, false
	}
	response, err := c.client.Do(request)
	if err != nil {
		return h, false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err != nil || response.StatusCode != http.StatusOK {
		return h, false
	}
	return h, json.Unmarshal(body, &h) == nil
}
