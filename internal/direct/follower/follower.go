// Package follower keeps the configuration and the list of backend servers of one daemon current: it reads the platform
// when what it knows is too old and exchanges what it reads with its peers.
package follower

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/fetcher"
	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/services/lister"
	"github.com/bluebelldyke/bluebelldyke/services/pacer"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

const (
	// watchWait is how long one watch call waits for a change: the longest that the platform permits.
	watchWait = 30 * time.Second
	// retryMin and retryMax bound the delay after a failed call of the first daemon in the order of reading; retryStep is
	// added to retryMax for each rank, up to retrySteps: while the platform is away, calls are still counted.
	retryMin   = 100 * time.Millisecond
	retryMax   = 800 * time.Millisecond
	retryStep  = 200 * time.Millisecond
	retrySteps = 15
	// joinWait is how long a daemon that starts waits for its peers before it reads the platform: an answer across
	// zones takes 10 ms.
	joinWait = 15 * time.Millisecond
)

// ErrHistoryLost is returned by a Source that no longer has the changes after a revision.
var ErrHistoryLost = eris.New("the platform no longer has the changes since the revision held: read the configuration again")

// IsErrHistoryLost reports whether err is an ErrHistoryLost.
func IsErrHistoryLost(err error) bool { return eris.Is(err, ErrHistoryLost) }

// Source is the platform that publishes both.
type Source interface {
	// Configuration returns the newest configuration and the platform's revision.
	Configuration(ctx context.Context) (*directory.Configuration, uint64, error)
	// AwaitConfiguration waits for a configuration after the revision. It returns none when wait passes without a change.
	AwaitConfiguration(ctx context.Context, after uint64, wait time.Duration) (*directory.Configuration, uint64, error)
	// Read returns the backend servers, and the configuration if its revision is not the known one.
	Read(ctx context.Context, known uint64) (Snapshot, error)
}

// Snapshot is what one read of the platform returned.
type Snapshot struct {
	Listing *directory.BackendList
	// Configuration is nil when its revision is the known one, or when there is none.
	Configuration *directory.Configuration
	// ConfigurationRevision is the platform's revision of the configuration, 0 when there is none.
	ConfigurationRevision uint64
}

// Sink takes what is in force.
type Sink interface {
	SetConfiguration(c *directory.Configuration)
	SetListing(l *directory.BackendList)
	// AddFindings takes what a peer of the own availability zone found out about backend servers.
	AddFindings(findings []steerer.Finding)
}

// Peers are the other daemons.
type Peers interface {
	Address() netip.AddrPort
	Members() []packer.Member
	Zone() []netip.AddrPort
	Notify(to netip.AddrPort, payload []byte) bool
}

// Bounds are the longest times until a change is in force.
type Bounds struct{ Leaving, Configuration time.Duration }

// Config holds what a Follower is made of.
type Config struct {
	Source           Source
	Sink             Sink
	Peers            Peers
	Logger           *zap.Logger
	AvailabilityZone string
	Zones            []string
	Seeds            []netip.AddrPort
	Bounds           Bounds
}

// Follower follows the platform for one daemon. It is safe for concurrent use.
type Follower struct {
	c             Config
	zoneRank      int
	listingPace   pacer.Pacer
	configPace    pacer.Pacer
	listingReads  chan struct{} // asks for a read of the list at once
	configReads   chan struct{}
	calls         calls
	ages          ages
	mu            sync.Mutex
	servers       *lister.Lister
	configuration *directory.Configuration
	configAsOf    time.Time // when the configuration was the newest
	configAt      uint64    // the platform's revision then
	configAbsent  bool      // the platform was read to hold none
	configRead    uint64    // the platform's revision of the configuration that was read last
	wanted        uint64    // version of a newer configuration that a peer has
	wantedAt      time.Time // when it was first heard of
	pending       []pendingStep
	held          []heldRelay
	incoming      [documents]transfer
	asked         [documents]time.Time
}

// New returns a Follower.
func New(c Config) *Follower {
	return &Follower{
		ages: ages{started: time.Now()},
		c:    c, zoneRank: pacer.RankZone(c.AvailabilityZone, c.Zones), servers: lister.New(),
		listingPace: pacer.Pacer{Bound: c.Bounds.Leaving}, configPace: pacer.Pacer{Bound: c.Bounds.Configuration},
		listingReads: make(chan struct{}, 1), configReads: make(chan struct{}, 1),
	}
}

// SetSeeds replaces the daemons to ask while no peer is known.
func (f *Follower) SetSeeds(seeds []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.c.Seeds = slices.Clone(seeds)
}

// Run follows the platform until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { f.watchConfiguration(ctx); return nil })
	group.Go(func() error { f.checkConfiguration(ctx); return nil })
	group.Go(func() error { f.readListing(ctx); return nil })
	group.Go(func() error { f.watchAges(ctx); return nil })
	err := group.Wait()
	f.summarize()
	return err
}

// Slept makes what this daemon believes older by the time that its VM was suspended, in which the clock stood still, and asks for a read.
// Peers that ask meanwhile are told the true age.
func (f *Follower) Slept(d time.Duration) {
	f.mu.Lock()
	f.servers.Age(d)
	if !f.configAsOf.IsZero() {
		f.configAsOf = f.configAsOf.Add(-d)
	}
	f.unlock()
	f.c.Logger.Info("VM was suspended", zap.Duration("for", d))
	signal(f.listingReads)
	signal(f.configReads)
}

// rank returns this daemon's place in the order of reading.
func (f *Follower) rank() pacer.Rank {
	return pacer.Rank{Zone: f.zoneRank, Member: pacer.RankMember(f.c.AvailabilityZone, f.c.Peers.Address(), f.c.Peers.Zone())}
}

// newBackoff returns delays that grow with the rank.
func (f *Follower) newBackoff() *fetcher.Backoff {
	return &fetcher.Backoff{Min: retryMin, Max: retryMax, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// retry waits after a failed call.
func (f *Follower) retry(ctx context.Context, b *fetcher.Backoff) {
	b.Max, _ = f.retryMost()
	sleep(ctx, b.Next(), nil)
}

// retryMost returns the longest wait after a failed call, and whether others come before this daemon in the order of reading: those
// tell it when the platform is back.
func (f *Follower) retryMost() (most time.Duration, follows bool) {
	r := f.rank()
	order := min(2*r.Zone+r.Member, retrySteps)
	return retryMax + time.Duration(order)*retryStep, order >= 2
}

// join asks the peers for a document when the daemon starts, and reports whether the platform has to be read for it.
func (f *Follower) join(ctx context.Context, d document, known func() bool) bool {
	f.ask(d)
	sleep(ctx, joinWait, nil)
	f.mu.Lock()
	defer f.mu.Unlock()
	return !known()
}

// sleep waits for d, or less when wake is signalled, and reports whether it was.
func sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
		return true
	}
	return false
}

// signal wakes the reader of c, if it is not already signalled.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
