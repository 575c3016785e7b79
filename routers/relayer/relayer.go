// Package relayer keeps one daemon supplied with the settings and the VM list: from the platform, which only a few
// daemons per availability zone watch, and from peers, which notify each other and pull what they lack.
package relayer

import (
	"context"
	"crypto/cipher"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/models/view"
	"github.com/bluebelldyke/bluebelldyke/modules/fetcher"
	"github.com/bluebelldyke/bluebelldyke/services/reviser"
)

// Names of the documents.
const (
	SettingsDocument = "settings"
	VMListDocument   = "vms"
)

const (
	// DefaultPollInterval is the mean time between the calls of a daemon that is not a watcher. 3,800 daemons with two documents
	// then make about 130 calls a second, and the platform allows 2,000.
	DefaultPollInterval = time.Minute
	// DefaultLongPollTimeout is how long a watcher lets the platform hold a call.
	DefaultLongPollTimeout = 30 * time.Second
	// DefaultWatchersPerZone is the number of watchers per availability zone and document.
	DefaultWatchersPerZone = 2
	// maxBytes bounds a document that comes from a peer or the platform.
	maxBytes = 8 << 20
	// maxConnections bounds the peer connections served at a time.
	maxConnections = 64
	// maxNotices bounds the outgoing notifications under way.
	maxNotices = 32
	// startWait is how long a starting daemon waits for the answers of all sources before it publishes the highest.
	startWait = time.Second
	// startPeers is the number of peers that a starting daemon asks.
	startPeers = 3
)

// Members is the membership view of this daemon.
type Members interface {
	// ZoneMembers returns the live members of the own availability zone, with this daemon.
	ZoneMembers() []netip.AddrPort
	// RandomPeers returns up to n different live members other than this daemon.
	RandomPeers(n int) []netip.AddrPort
	// IsLive reports whether address is a live member.
	IsLive(address netip.AddrPort) bool
}

// Audit records decisions on documents.
type Audit interface{ Record(e AuditEntry) }

// AuditEntry is one audit entry.
type AuditEntry = reviser.Decision

// Config holds what a Relayer is made of.
type Config struct {
	// PlatformURL is the URL of the platform.
	PlatformURL string
	// AvailabilityZone is the place of this daemon: it follows the place documents of its region.
	AvailabilityZone string
	// Self is the peer address of this daemon as its peers know it.
	Self netip.AddrPort
	// Bind is the TCP address to listen on. Listener replaces it when set.
	Bind     netip.AddrPort
	Listener net.Listener
	Seeds    []netip.AddrPort
	Members  Members
	Audit    Audit
	Logger   *zap.Logger
	Meter    metric.Meter
	// Random must not be used by others.
	Random *rand.Rand
	// Key is the fleet key. It seals the documents that peers exchange.
	Key [32]byte
	// PollInterval, LongPollTimeout and Watchers replace the defaults when they are not 0.
	PollInterval, LongPollTimeout time.Duration
	WatchersPerZone               int
	// Dial replaces the TCP dialer; nil means net.Dialer.
	Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
}

// Relayer holds the documents of one daemon. It is safe for concurrent use.
type Relayer struct {
	c        Config
	logger   *zap.Logger
	platform *fetcher.Fetcher
	listener net.Listener
	sealing  cipher.AEAD
	// documents holds those that are followed: the two root documents, then those of places by name.
	documents atomic.Pointer[[]*document]
	inForce   atomic.Pointer[[]settings.Document]
	changed   chan struct{} // capacity 1: other documents are followed
	views     chan *view.View
	counts    counts
	notices   errgroup.Group // notifications under way, at most maxNotices
	// background holds questions that outlast their time limit while a large tree is parsed.
	background errgroup.Group
	fresh      fresh

	apply    sync.Mutex // serializes decisions and the publication of views, and guards the next three
	combiner *reviser.Combiner
	places   map[string][]*document // also of places that are no longer followed, without contents
	waiting  *reviser.Decision      // about a root that is not complete yet

	ready atomic.Bool
	mu    sync.Mutex // guards c.Random
}

// New returns a Relayer with its listener open.
func New(c Config) (*Relayer, error) {
	if c.Members == nil || c.Random == nil {
		return nil, eris.New("relayer needs Members and Random: set both in Config")
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.Meter == nil {
		c.Meter = noop.Meter{}
	}
	c.PollInterval, c.LongPollTimeout = orDefault(c.PollInterval, DefaultPollInterval), orDefault(c.LongPollTimeout, DefaultLongPollTimeout)
	c.WatchersPerZone = orDefault(c.WatchersPerZone, DefaultWatchersPerZone)
	if c.Dial == nil {
		var dialer net.Dialer
		c.Dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", to.String())
		}
	}
	platform, err := fetcher.New(fetcher.Config{URL: c.PlatformURL, MaxBytes: maxBytes})
	if err != nil {
		return nil, err
	}
	r := &Relayer{
		c: c, logger: c.Logger, platform: platform, listener: c.Listener, views: make(chan *view.View, 1),
		changed: make(chan struct{}, 1), combiner: reviser.NewCombiner(c.AvailabilityZone), places: map[string][]*document{},
	}
	documents := rootDocuments()
	r.documents.Store(&documents)
	r.inForce.Store(&[]settings.Document{})
	if r.sealing, err = newSealing(c.Key); err != nil {
		return nil, err
	}
	r.notices.SetLimit(maxNotices)
	r.fresh.init()
	if r.listener == nil {
		if r.listener, err = net.Listen("tcp", c.Bind.String()); err != nil {
			return nil, eris.Wrapf(err, "peer listener on %s: set peer.bind to a free address of this VM", c.Bind)
		}
	}
	if err := r.register(c.Meter); err != nil {
		return nil, errors.Join(err, r.listener.Close())
	}
	return r, nil
}

func orDefault[T int | time.Duration](value, standard T) T {
	if value <= 0 {
		return standard
	}
	return value
}

// Run serves peers and follows the documents until ctx ends.
func (r *Relayer) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return r.listener.Close()
	})
	g.Go(func() error { return r.serve(ctx) })
	g.Go(func() error { return r.observe(ctx) })
	g.Go(func() error {
		r.start(ctx)
		g.Go(func() error { return r.supervise(ctx, g) })
		return r.answerRefreshes(ctx)
	})
	err := g.Wait()
	return errors.Join(err, r.notices.Wait(), r.background.Wait())
}

// Views returns the channel on which the newest view is delivered. A view that was not taken is replaced.
func (r *Relayer) Views() <-chan *view.View { return r.views }

// start asks the platform and several peers, and publishes the highest revisions once all have answered or startWait
// has passed; the documents that the root names are asked for in the same way after it.
func (r *Relayer) start(ctx context.Context) {
	root := r.all()
	r.ask(ctx, root, startWait, startPeers)
	r.ask(ctx, r.all()[len(root):], startWait, startPeers)
	for _, e := range r.begin() {
		r.record(e)
	}
}

// begin publishes the first view.
func (r *Relayer) begin() []AuditEntry {
	r.apply.Lock()
	defer r.apply.Unlock()
	r.ready.Store(true)
	return r.publish()
}

// random calls f with the generator under its lock.
func random[T any](r *Relayer, f func(*rand.Rand) T) T {
	r.mu.Lock()
	defer r.mu.Unlock()
	return f(r.c.Random)
}

// jittered returns a duration between half and one and a half of d.
func (r *Relayer) jittered(d time.Duration) time.Duration {
	return d/2 + random(r, func(g *rand.Rand) time.Duration { return time.Duration(g.Int64N(int64(d) + 1)) })
}

// sleep waits for d or until ctx ends, and reports whether ctx is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
