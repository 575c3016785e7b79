// Package relayer keeps the settings and the VM lists of one daemon up to date. A few daemons per availability zone, the
// watchers, long poll the platform. A daemon that has applied a new revision notifies some peers, which pull it from that
// daemon. Heartbeats announce the versions held, so that a daemon also pulls a revision whose notification was lost.
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
	"github.com/bluebelldyke/bluebelldyke/modules/recoverer"
	"github.com/bluebelldyke/bluebelldyke/services/reviser"
)

// Names of the root documents, which every daemon follows.
const (
	SettingsDocument = "settings"
	VMListDocument   = "vms"
)

const (
	// DefaultPollInterval is the mean time between the platform calls of a daemon that is not a watcher. 3,800 daemons with
	// two documents then make about 130 calls a second, and the platform allows 2,000.
	DefaultPollInterval = time.Minute
	// DefaultLongPollTimeout is how long a watcher lets the platform hold a call that waits for a change. The answer also tells the era
	// of the platform's store: a change under a revision that a restored store gives out again ends no call that waits after it.
	DefaultLongPollTimeout = 4 * time.Second
	// vmListLongPollFactor is how much longer a long poll of a VM list is. VM lists may lag, and their watchers make most of the calls to
	// a platform on which nothing changes.
	vmListLongPollFactor = 7
	// DefaultWatchersPerZone is the number of watchers per availability zone and document.
	DefaultWatchersPerZone = 2
	// maxDocumentBytes limits a document that is read from a peer or the platform.
	maxDocumentBytes = 8 << 20
	// maxConnections limits the peer connections that are served at the same time.
	maxConnections = 64
	// maxNotifications limits the notifications that are sent at the same time.
	maxNotifications = 32
	// startTimeout is how long a starting daemon waits for the responses of all sources before it publishes the highest
	// revisions received until then.
	startTimeout = time.Second
	// startPeerCount is the number of peers that a starting daemon queries.
	startPeerCount = 3
)

// Members is the membership view of this daemon.
type Members interface {
	// ZoneMembers returns the live members of the own availability zone, including this daemon.
	ZoneMembers() []netip.AddrPort
	// RandomPeers returns up to n different live members, without this daemon.
	RandomPeers(n int) []netip.AddrPort
	// IsLive reports whether the address is that of a live member.
	IsLive(address netip.AddrPort) bool
}

// Audit records decisions about offered revisions of documents.
type Audit interface{ Record(e AuditEntry) }

// AuditEntry is an entry of the audit trail.
type AuditEntry = reviser.Decision

// Config holds the settings of a Relayer.
type Config struct {
	// PlatformURL is the URL of the platform.
	PlatformURL string
	// AvailabilityZone is the place of this daemon. The daemon follows the place documents of the region of this place.
	AvailabilityZone string
	// Self is the peer address that this daemon advertises.
	Self netip.AddrPort
	// Bind is the TCP address to listen on. It is not used if Listener is set.
	Bind     netip.AddrPort
	Listener net.Listener
	// Seeds are the peer addresses of daemons that are queried while too few members are known.
	Seeds   []netip.AddrPort
	Members Members
	Audit   Audit
	Logger  *zap.Logger
	Meter   metric.Meter
	// Random must not be used elsewhere, because it is not safe for concurrent use.
	Random *rand.Rand
	// Key is the fleet key, from which the key is derived that encrypts the documents between peers.
	Key [32]byte
	// PollInterval, LongPollTimeout and WatchersPerZone are optional; 0 means the default.
	PollInterval, LongPollTimeout time.Duration
	WatchersPerZone               int
	// Recoverer contains the panics of single documents and queries of peers; nil contains none.
	Recoverer *recoverer.Recoverer
	// Dial opens the TCP connections to peers; nil means with a net.Dialer.
	Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
}

// Relayer obtains the documents of one daemon and passes them on to peers. It is safe for concurrent use.
type Relayer struct {
	cfg      Config
	logger   *zap.Logger
	platform *fetcher.Fetcher
	listener net.Listener
	aead     cipher.AEAD
	// followed holds the documents that this daemon follows: the two root documents, then those of places by place name.
	followed        atomic.Pointer[[]*document]
	settingsInForce atomic.Pointer[[]settings.Document]
	followedChanged chan struct{} // capacity 1: signals that followed has changed
	views           chan *view.View
	counters        counters
	notifications   errgroup.Group // notifications being sent, at most maxNotifications
	// background runs queries, which can outlast their timeout while a large settings tree is parsed.
	background errgroup.Group
	freshness  freshness

	applyMu        sync.Mutex // serializes decisions and the publication of views, and guards the next four fields
	combiner       *reviser.Combiner
	placeDocuments map[string][]*document // by place, including places that are no longer followed, whose documents have no content
	evacuated      map[string]bool        // places of the last view
	waitingRoot    *reviser.Decision      // the decision about the newest root while documents that it names are missing

	canPublish atomic.Bool // set once the queries at start have ended
	randomMu   sync.Mutex  // guards cfg.Random
}

// New opens the listener and returns a Relayer.
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
	platform, err := fetcher.New(fetcher.Config{URL: c.PlatformURL, MaxBytes: maxDocumentBytes})
	if err != nil {
		return nil, err
	}
	r := &Relayer{
		cfg: c, logger: c.Logger, platform: platform, listener: c.Listener, views: make(chan *view.View, 1),
		followedChanged: make(chan struct{}, 1), combiner: reviser.NewCombiner(c.AvailabilityZone), placeDocuments: map[string][]*document{},
	}
	documents := newRootDocuments()
	r.followed.Store(&documents)
	r.settingsInForce.Store(&[]settings.Document{})
	if r.aead, err = newAEAD(c.Key); err != nil {
		return nil, err
	}
	r.notifications.SetLimit(maxNotifications)
	r.freshness.init()
	if r.listener == nil {
		if r.listener, err = net.Listen("tcp", c.Bind.String()); err != nil {
			return nil, eris.Wrapf(err, "open the peer listener on %s: set peer.bind to a free address of this VM", c.Bind)
		}
	}
	if err := r.registerMetrics(c.Meter); err != nil {
		return nil, errors.Join(err, r.listener.Close())
	}
	return r, nil
}

func orDefault[T int | time.Duration](value, defaultValue T) T {
	if value <= 0 {
		return defaultValue
	}
	return value
}

// Run serves peers and keeps the followed documents up to date until ctx ends.
func (r *Relayer) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return r.listener.Close()
	})
	g.Go(func() error { return r.serve(ctx) })
	g.Go(func() error { return r.detectPauses(ctx) })
	g.Go(func() error {
		r.loadFirstRevisions(ctx)
		g.Go(func() error { return r.runDocuments(ctx, g) })
		return r.runRefreshes(ctx)
	})
	err := g.Wait()
	return errors.Join(err, r.notifications.Wait(), r.background.Wait())
}

// Views returns the channel that delivers the newest view. A view that has not been received yet is replaced by a newer one.
func (r *Relayer) Views() <-chan *view.View { return r.views }

// loadFirstRevisions queries the platform and several peers for the root documents, and then for the documents that the root
// names. Each of the two queries ends when all sources have answered or after startTimeout. Only then is the first view
// published, from the highest revisions received.
func (r *Relayer) loadFirstRevisions(ctx context.Context) {
	root := r.followedDocuments()
	r.queryAll(ctx, root, startTimeout, startPeerCount)
	r.queryAll(ctx, r.followedDocuments()[len(root):], startTimeout, startPeerCount)
	for _, e := range r.startPublishing() {
		r.record(e)
	}
}

// startPublishing publishes the first view and enables the publication of later ones. It returns audit entries.
func (r *Relayer) startPublishing() []AuditEntry {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	r.canPublish.Store(true)
	return r.publishView()
}

// withRandom calls f with the random number generator while it holds the generator's lock.
func withRandom[T any](r *Relayer, f func(*rand.Rand) T) T {
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	return f(r.cfg.Random)
}

// jitter returns a uniformly distributed duration between half of d and one and a half times d.
func (r *Relayer) jitter(d time.Duration) time.Duration {
	return d/2 + withRandom(r, func(g *rand.Rand) time.Duration { return time.Duration(g.Int64N(int64(d) + 1)) })
}

// sleep waits for d or until ctx ends. It returns false if ctx ended first.
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
