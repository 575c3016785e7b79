// Package follower keeps the configuration and the backend list of one daemon current. Both are documents of the platform. A daemon
// reads the platform when its copy becomes stale and announces what it read to its peers, so that usually one daemon of the fleet
// reads for all.
package follower

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/encoder"
	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/fetcher"
	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/modules/recoverer"
	"github.com/bluebelldyke/bluebelldyke/modules/throttler"
	"github.com/bluebelldyke/bluebelldyke/services/estimator"
	"github.com/bluebelldyke/bluebelldyke/services/evacuator"
	"github.com/bluebelldyke/bluebelldyke/services/lister"
	"github.com/bluebelldyke/bluebelldyke/services/pacer"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

const (
	// watchWait is the duration of one long poll (watch) of the configuration: the longest that the platform permits.
	watchWait = 30 * time.Second
	// retryMin and retryMax bound the backoff after a failed call of the first daemon in the order of reading. retryRankStep is added
	// to retryMax for each rank, up to maxRetryRankSteps: the platform counts calls during its outages too, so only the first daemons
	// retry often.
	retryMin          = 100 * time.Millisecond
	retryMax          = 800 * time.Millisecond
	retryRankStep     = 200 * time.Millisecond
	maxRetryRankSteps = 15
	// startupPeerWait is how long a starting daemon waits for the documents of its peers before it reads the platform: an answer from
	// another availability zone takes 10 ms.
	startupPeerWait = 15 * time.Millisecond
)

// ErrHistoryLost is returned by a Source whose history no longer contains the changes after the given revision.
var ErrHistoryLost = eris.New("the platform no longer has the changes since the given revision: read the configuration again")

// IsErrHistoryLost reports whether err is an ErrHistoryLost.
func IsErrHistoryLost(err error) bool { return eris.Is(err, ErrHistoryLost) }

// Source reads the configuration and the backend list from the platform.
type Source interface {
	// Configuration returns the newest configuration and the position of the platform's store.
	Configuration(ctx context.Context) (*directory.Configuration, directory.Position, error)
	// AwaitConfiguration waits up to wait for changes by operators that are newer than the position. It returns ErrHistoryLost if the
	// store is of another era.
	AwaitConfiguration(ctx context.Context, after directory.Position, wait time.Duration) (Changes, error)
	// Read returns the backend list, and the configuration unless the store holds the one of the known position.
	Read(ctx context.Context, known directory.Position) (Snapshot, error)
}

// Changes are the changes by operators between two positions of the platform's store.
type Changes struct {
	// Configuration is the newest configuration, nil if it has not changed.
	Configuration *directory.Configuration
	// Evacuations are the changes of the evacuated availability zones in the order of their revisions.
	Evacuations []directory.EvacuationChange
	// Position is the position of the store up to which the changes are complete.
	Position directory.Position
}

// Snapshot is the result of one read of the platform.
type Snapshot struct {
	BackendList *directory.BackendList
	// Configuration is nil if its position is the one given to Read or if the platform has none.
	Configuration *directory.Configuration
	// ConfigurationError states why the configuration at its position cannot be used, nil if it can. The backend list is usable all the same.
	ConfigurationError error
	// ConfigurationPosition is the position at which the platform stored the configuration, the zero position if it has none.
	ConfigurationPosition directory.Position
	// Evacuations are the evacuated availability zones, nil if the Source does not read them.
	Evacuations *directory.Evacuations
}

// Sink puts configurations, backend lists and health findings in force.
type Sink interface {
	SetConfiguration(c *directory.Configuration)
	SetBackendList(l *directory.BackendList)
	// SetEvacuations passes the evacuated availability zones, sorted, and the times of recent revocations by zone.
	SetEvacuations(zones []string, revokedAt map[string]time.Time)
	// AddFindings takes health findings and evidence of a peer in the own availability zone.
	AddFindings(findings []steerer.Finding)
}

// Peers connects this daemon to the other daemons of the fleet: their membership and the messages to them.
type Peers interface {
	// Address returns the address at which other daemons reach this one.
	Address() netip.AddrPort
	// Members returns the other members.
	Members() []packer.Member
	// ZoneMembers returns the addresses of the members in the own availability zone that can take duties, with that of this daemon.
	ZoneMembers() []netip.AddrPort
	// Notify sends a message to the daemon at the address. True does not mean that it arrives.
	Notify(to netip.AddrPort, payload []byte) bool
}

// StalenessBounds holds the longest times until a change of the backend list, of the configuration and of the evacuated zones must be in
// force. Evacuations is 0 if the deployment has none.
type StalenessBounds struct{ BackendList, Configuration, Evacuations time.Duration }

// Config holds the dependencies and settings of a Follower.
type Config struct {
	Source            Source
	Sink              Sink
	Peers             Peers
	Logger            *zap.Logger
	AvailabilityZone  string
	AvailabilityZones []string
	Seeds             []netip.AddrPort
	StalenessBounds   StalenessBounds
	// HandleDigest takes the speed digests of peers in the own availability zone. Nil drops them.
	HandleDigest func([]estimator.Record)
	// HandleAdmissionReport takes the admission reports of peers in the own availability zone. Nil drops them.
	HandleAdmissionReport func(netip.AddrPort, steerer.AdmissionReport)
	// Departures returns the backend servers whose entries were removed lately, newest first. They are sent to peers that request the backend list.
	// Nil sends none.
	Departures func() []directory.Departure
	// HandleDepartures takes those of a peer. Nil drops them.
	HandleDepartures func([]directory.Departure)
	// LimitsColdServers makes the Follower pass on the warm-ups of backend servers and the rates of services that a limit of the new flows
	// at cold backend servers needs.
	LimitsColdServers bool
	// TracksWarmUp makes the Follower age the warm-ups of backend servers and pass them on, which LimitsColdServers implies. Without it each
	// backend list states the warm-ups of the first read again, and backend servers would count as cold for longer.
	TracksWarmUp bool
	// Audit records each change of a view. Nil records nothing.
	Audit AuditTrail
	// LinkRate is the rate of the VM's link in bits per second. Documents for peers take a quarter of it. 0 means that they are not paced.
	LinkRate float64
	// Recoverer contains panics; nil contains none.
	Recoverer *recoverer.Recoverer
	// Weak states that this daemon is one of the weak members, which read and announce only what no other member does.
	Weak bool
}

// Follower keeps the configuration and the backend list of one daemon current. It is safe for concurrent use.
type Follower struct {
	c                      Config
	zoneRank               int
	backendListPacer       pacer.Pacer
	configurationPacer     pacer.Pacer
	evacuationPacer        pacer.Pacer
	backendListWake        chan struct{} // makes pollBackendList read at once
	configurationWake      chan struct{} // makes pollConfiguration check at once whether a read is due
	calls                  callStats
	ages                   viewAges
	mu                     sync.Mutex
	backendList            *lister.Lister
	publishedEra           uint64    // of the backend list that the sink has
	era                    uint64    // highest known era of the platform's store
	eraKnownSince          time.Time // when this daemon learned of that era
	configuration          *directory.Configuration
	configDigest           uint64             // of the configuration
	configStoredAt         directory.Position // latest position at which the platform is known to hold the configuration
	configAsOf             time.Time          // latest time at which the configuration was known to be the newest
	configCursor           directory.Position // up to which changes of the configuration are known; zero after a loss of the history
	configAbsent           bool               // the platform answered that it has no configuration
	rejectedPosition       directory.Position // of the configuration that was rejected last
	configDocumentPosition directory.Position // at which the platform stored the configuration that was read last
	cancelWatch            context.CancelFunc // ends the watch of the configuration that is waiting
	wanted                 wantedConfiguration
	evacuations            *evacuator.Evacuator // nil if the deployment has no evacuations
	publishedZones         []string             // evacuated zones that were logged last
	expiryTimer            *time.Timer          // calls expireEvacuations
	listHeld, listReleased bool                 // the first backend list waits for the evacuated zones, or has waited
	lostWatchPosition      directory.Position   // from which the platform cannot continue a watch any more
	pendingDeltas          []pendingDelta
	latestAnnouncement     peerAnnouncement
	deferredRelays         []deferredRelay
	reassemblies           [encoder.DocumentCount]reassembly
	requestedAt            [encoder.DocumentCount]time.Time // last request to a peer for the document
	source                 string                           // of the content that is being handled
	sources                [viewCount]string                // of the views in force
	isReader               [viewCount]atomic.Bool           // this daemon reads the view from the platform for its peers
	documents              documentStats
	sharedEncodings        [encoder.DocumentCount]*encodedDocument
	bucket                 *throttler.Throttler // nil without pacing
	transfers              []transfer
	transferWake           chan struct{} // wakes sendPaced
	downloads              [encoder.DocumentCount]download
	lastSizes              [encoder.DocumentCount]int // bytes of the last document that a peer has sent
}

// New returns a Follower that has no configuration and no backend list yet.
func New(c Config) *Follower {
	f := &Follower{
		ages: viewAges{started: time.Now()},
		c:    c, zoneRank: pacer.RankZone(c.AvailabilityZone, c.AvailabilityZones), backendList: lister.New(),
		backendListPacer: pacer.Pacer{MaxAge: c.StalenessBounds.BackendList}, configurationPacer: pacer.Pacer{MaxAge: c.StalenessBounds.Configuration},
		evacuationPacer: pacer.Pacer{MaxAge: c.StalenessBounds.Evacuations},
		backendListWake: make(chan struct{}, 1), configurationWake: make(chan struct{}, 1),
		bucket: newBucket(c.LinkRate), transferWake: make(chan struct{}, 1),
	}
	f.backendList.TracksWarmUp = c.LimitsColdServers || c.TracksWarmUp
	if c.StalenessBounds.Evacuations > 0 {
		f.evacuations = evacuator.New()
	}
	return f
}

// SetSeeds replaces the addresses of the daemons that are asked for documents while no peer is known.
func (f *Follower) SetSeeds(seeds []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.c.Seeds = slices.Clone(seeds)
}

// Run keeps the documents current until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	f.startLoop(ctx, group, "watch", f.watchConfiguration)
	f.startLoop(ctx, group, "configuration-read", f.pollConfiguration)
	f.startLoop(ctx, group, "backend-list-read", f.pollBackendList)
	f.startLoop(ctx, group, "staleness", f.monitorStaleness)
	if f.isPaced() {
		f.startLoop(ctx, group, "transfer", f.sendPaced)
	}
	err := group.Wait()
	f.logCallSummary()
	return err
}

// HandleSuspension adds the time for which the VM was suspended to the ages of the documents, because the clock stood still
// meanwhile, and triggers a read. Peers that request a document before the read get it with its true age.
func (f *Follower) HandleSuspension(d time.Duration) {
	f.locked(func() {
		f.backendList.AddAge(d)
		if f.evacuations != nil {
			f.evacuations.AddAge(d)
		}
		if !f.configAsOf.IsZero() {
			f.configAsOf = f.configAsOf.Add(-d)
		}
	})
	f.c.Logger.Info("VM was suspended", zap.Duration("for", d))
	signal(f.backendListWake)
	signal(f.configurationWake)
}

// noteEra records the era of an answer of the platform or of a message of a peer. If the era is new, the store was restored from an older
// copy, and the watch that is waiting would miss the changes whose revisions are given out again. The caller holds mu.
func (f *Follower) noteEra(era uint64) {
	if era <= f.era {
		return
	}
	if f.era > 0 {
		f.calls.restores.Add(1)
		f.configCursor = directory.Position{}
		if f.cancelWatch != nil {
			f.cancelWatch()
		}
		f.c.Logger.Warn("platform's store was restored from an older copy: what it has lost stays in force until it is written again", zap.Uint64("era", era))
	}
	f.era, f.eraKnownSince = era, time.Now()
}

// positionWithoutEra returns the position of a document of a daemon that does not know eras. The document belongs to the present era only
// if it was read after this daemon learned of the era. The caller holds mu.
func (f *Follower) positionWithoutEra(revision uint64, asOf time.Time) directory.Position {
	if asOf.After(f.eraKnownSince) {
		return directory.Position{Era: f.era, Revision: revision}
	}
	return directory.Position{Revision: revision}
}

// rank returns this daemon's place in the order in which daemons read the platform. Weak members follow the others.
func (f *Follower) rank() pacer.Rank {
	self := f.c.Peers.Address()
	same, strong := f.splitByStrength(f.c.Peers.ZoneMembers())
	before := 0
	if f.c.Weak {
		before = len(strong)
	} else {
		same = strong
	}
	return pacer.Rank{Zone: f.zoneRank, Member: before + pacer.RankMember(f.c.AvailabilityZone, self, same)}
}

// splitByStrength returns the weak members in the list and the others, in their order.
func (f *Follower) splitByStrength(list []netip.AddrPort) (weak, strong []netip.AddrPort) {
	isWeak := map[netip.AddrPort]bool{}
	if f.c.Weak {
		isWeak[f.c.Peers.Address()] = true
	}
	for _, m := range f.c.Peers.Members() {
		if m.Weak {
			isWeak[m.Address] = true
		}
	}
	if len(isWeak) == 0 {
		return nil, list
	}
	for _, a := range list {
		if isWeak[a] {
			weak = append(weak, a)
		} else {
			strong = append(strong, a)
		}
	}
	return weak, strong
}

// preferStrong returns the members in the list that are not weak, all of them if there are no others.
func (f *Follower) preferStrong(list []netip.AddrPort) []netip.AddrPort {
	if _, strong := f.splitByStrength(list); len(strong) > 0 {
		return strong
	}
	return list
}

// newBackoff returns the backoff after failed calls. waitRetry raises its maximum with the rank of the daemon.
func (f *Follower) newBackoff() *fetcher.Backoff {
	return &fetcher.Backoff{Min: retryMin, Max: retryMax, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// waitRetry waits for the backoff delay after a failed call.
func (f *Follower) waitRetry(ctx context.Context, b *fetcher.Backoff) {
	b.Max, _ = f.maxRetryDelay()
	sleep(ctx, b.Next(), nil)
}

// maxRetryDelay returns the longest wait after a failed call, and whether enough daemons precede this one in the order of
// reading: those announce what they read once the platform answers again. Only the first two daemons of the first zone are not
// preceded.
func (f *Follower) maxRetryDelay() (delay time.Duration, preceded bool) {
	r := f.rank()
	order := min(2*r.Zone+r.Member, maxRetryRankSteps)
	return retryMax + time.Duration(order)*retryRankStep, order >= 2
}

// requestAtStartup requests a document from peers when the daemon starts, and reports whether it did not arrive in time, so that the
// platform has to be read. The function isKnown is called with mu held.
func (f *Follower) requestAtStartup(ctx context.Context, d encoder.Document, isKnown func() bool) bool {
	f.requestFromRandomPeer(d)
	sleep(ctx, startupPeerWait, nil)
	if f.isPaced() {
		f.awaitDownload(ctx, d, isKnown)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !isKnown()
}

// sleep waits until d has passed, wake is signalled or ctx ends, and reports whether wake was signalled.
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

// signal wakes the receiver of c unless a signal is already pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
