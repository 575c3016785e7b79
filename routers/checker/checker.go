// Package checker requests the health endpoints of the backend servers that are assigned to this daemon, and passes health updates
// from the checks of all daemons of the availability zone to the decision goroutine. Package services/examiner makes the decisions.
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
	"github.com/bluebelldyke/bluebelldyke/modules/recoverer"
	"github.com/bluebelldyke/bluebelldyke/modules/ring"
	"github.com/bluebelldyke/bluebelldyke/services/examiner"
)

const (
	// pollInterval is how often the checker looks for a check that is due.
	pollInterval = 50 * time.Millisecond
	// maxConcurrentChecks limits the number of checks in progress.
	maxConcurrentChecks = 64
	// maxBodySize limits how much of a health response is read, in bytes.
	maxBodySize = 4096
	// defaultTimeout is the timeout of a check if the tunables have none. It equals the built-in value of health-timeout.
	defaultTimeout = 500 * time.Millisecond
	// membersRefreshInterval is how often the examiner gets the current members.
	membersRefreshInterval = 500 * time.Millisecond
	// pauseThreshold is the delay of a timeout above which the process is considered to have been paused.
	pauseThreshold = time.Second
	// idleTimeout is when connections to backend servers that are no longer checked are closed. It exceeds the longest health-interval
	// of 1 min; otherwise each check would have to open a new connection.
	idleTimeout = 90 * time.Second
)

// healthResponse is the JSON form of the response of a health endpoint.
type healthResponse struct {
	Service     string `json:"service"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Running     int    `json:"running"`
	Queued      int    `json:"queued"`
}

// Members is the membership view of the own availability zone.
type Members interface {
	// Checkers returns the live members that are not leaving, including this daemon unless it is leaving.
	Checkers() []examiner.Member
}

// Config configures a Checker.
type Config struct {
	Self             netip.AddrPort // peer address
	AvailabilityZone string
	Incarnation      uint64 // process start time in Unix ms
	Members          Members
	Random           *rand.Rand
	// HealthUpdates receives the health updates. If it is full, updates are dropped and counted.
	HealthUpdates *ring.Ring[examiner.HealthUpdate]
	// Dial opens TCP connections; nil means the default dialer of net/http.
	Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	// Meter is where metrics are registered; nil means that there are none.
	Meter metric.Meter
	// Recoverer contains the panics of single checks; nil contains none.
	Recoverer *recoverer.Recoverer
}

// Checker checks the backend servers that are assigned to this daemon, and combines the results with the health reports of other
// daemons. It is safe for concurrent use.
type Checker struct {
	healthUpdates *ring.Ring[examiner.HealthUpdate]
	members       Members
	client        *http.Client
	recoverer     *recoverer.Recoverer

	mu       sync.Mutex
	examiner *examiner.Examiner
	servers  []settings.BackendServer
}

// New returns a Checker without backend servers.
func New(c Config) (*Checker, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxBodySize}
	if c.Dial != nil {
		transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
			to, err := netip.ParseAddrPort(address)
			if err != nil {
				return nil, eris.Wrapf(err, "parse health address %s", address)
			}
			return c.Dial(ctx, to)
		}
	}
	checker := &Checker{
		healthUpdates: c.HealthUpdates, members: c.Members, client: &http.Client{Transport: transport}, recoverer: c.Recoverer,
		examiner: examiner.New(examiner.Config{
			Self: c.Self, AvailabilityZone: c.AvailabilityZone, Incarnation: c.Incarnation, Random: c.Random,
		}),
	}
	if c.Meter == nil {
		return checker, nil
	}
	return checker, checker.registerMetrics(c.Meter)
}

// SetBackendServers replaces the backend servers. Those without a health address are not checked.
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
	c.servers = servers
	c.examiner.SetServers(time.Now(), list)
}

// Reports returns the health reports for the next datagram to a member of the own availability zone.
func (c *Checker) Reports(now time.Time) []packer.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.examiner.Reports(now)
}

// HandleReports handles the health reports in a datagram from a member of the own availability zone.
func (c *Checker) HandleReports(now time.Time, reports []packer.Report) {
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

// Run checks backend servers until ctx ends.
func (c *Checker) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentChecks + 1)
	group.Go(func() error { return c.schedule(ctx, group) })
	return group.Wait()
}

func (c *Checker) schedule(ctx context.Context, group *errgroup.Group) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var refreshed time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if now.Sub(refreshed) >= membersRefreshInterval {
				refreshed = now
				c.recoverer.Do("checkers", 0, func() { c.setMembers(now) })
			}
			c.recoverer.Do("health-poll", 0, func() { c.poll(ctx, now, group) })
		}
	}
}

func (c *Checker) setMembers(now time.Time) {
	members := c.members.Checkers() // without the lock: package peers calls Reports with its own lock held, so the reverse order could deadlock
	c.mu.Lock()
	defer c.mu.Unlock()
	c.examiner.SetMembers(now, members)
}

// poll starts a check if one is due, and passes on new health updates.
func (c *Checker) poll(ctx context.Context, now time.Time, group *errgroup.Group) {
	server, due, updates := c.next(now)
	if due {
		group.TryGo(func() error {
			c.recoverer.Do("health-check", 0, func() { c.check(ctx, server) })
			return nil
		})
	}
	for _, u := range updates {
		c.healthUpdates.TryPush(u)
	}
}

// next returns the backend server to check now, if one is due, and the new health updates.
func (c *Checker) next(now time.Time) (server settings.BackendServer, due bool, updates []examiner.HealthUpdate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	address, due := c.examiner.NextCheck(now)
	if due {
		// A linear search is fast enough for a few checks a second. An index would take megabytes for a large fleet.
		i := slices.IndexFunc(c.servers, func(s settings.BackendServer) bool { return s.Address == address })
		if due = i >= 0; due {
			server = c.servers[i]
		}
	}
	return server, due, c.examiner.HealthUpdates(now)
}

func (c *Checker) check(ctx context.Context, s settings.BackendServer) {
	timeout := s.Tunables.HealthTimeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	checkCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started := time.Now()
	result := examiner.Result{State: packer.HealthFailed}
	if h, ok := c.fetchHealth(checkCtx, s.HealthAddress); ok && h.Service == s.Service {
		result = examiner.Result{State: h.state(), Incarnation: h.Incarnation, Running: h.Running, Queued: h.Queued}
	}
	now := time.Now()
	if ctx.Err() != nil || now.Sub(started) > timeout+pauseThreshold {
		return // the process is ending or was paused, so the response may have arrived in time
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.examiner.RecordResult(now, s.Address, result)
}

func (h *healthResponse) state() packer.Health {
	switch h.State {
	case "draining":
		return packer.HealthDraining
	case "warming":
		return packer.HealthWarming
	}
	return packer.HealthLive
}

func (c *Checker) fetchHealth(ctx context.Context, address netip.AddrPort) (healthResponse, bool) {
	var h healthResponse
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/health", nil)
	if err != nil {
		return h, false
	}
	response, err := c.client.Do(request)
	if err != nil {
		return h, false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodySize))
	if err != nil || response.StatusCode != http.StatusOK {
		return h, false
	}
	return h, json.Unmarshal(body, &h) == nil
}
