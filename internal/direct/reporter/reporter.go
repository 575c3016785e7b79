// Package reporter exchanges health findings between the daemons of an availability zone. Evidence about a backend server goes to its
// three aggregators; an aggregator sends what the evidence amounts to through a relay tree. Without aggregators, each daemon sent its
// evidence to all others: with 100 daemons and 30 unresponsive backend servers that was most of the control traffic.
package reporter

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/dialer"
	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/modules/recoverer"
	"github.com/bluebelldyke/bluebelldyke/services/aggregator"
	"github.com/bluebelldyke/bluebelldyke/services/prober"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

const (
	// meshPeers is the number of peers up to which findings go to all of them, as in earlier versions: that costs no more messages than
	// three aggregators and a relay.
	meshPeers = 4
	// fanOutDegree is the number of daemons to which one daemon sends a finding itself; those relay it to the remaining ones.
	fanOutDegree = 8
	// maxFindings limits the findings of one message, which then takes 800 bytes and leaves room for the addresses of relay targets.
	maxFindings = 30
)

// Peers connects this daemon to the other daemons of the fleet.
type Peers interface {
	// Address returns the address at which other daemons reach this one.
	Address() netip.AddrPort
	// Members returns the other members.
	Members() []packer.Member
	// Notify sends a message to the daemon at the address. True does not mean that it arrives.
	Notify(to netip.AddrPort, payload []byte) bool
}

// Sink puts the health findings of peers in force. The slice belongs to the Sink from then on.
type Sink interface {
	AddFindings(findings []steerer.Finding)
}

// Follower handles the messages of earlier versions and of other kinds.
type Follower interface {
	// SendFindings sends findings to daemons of earlier versions.
	SendFindings(list []steerer.Finding, to []netip.AddrPort)
	HandleNotice(from netip.AddrPort, payload []byte)
}

// Config holds the dependencies and settings of a Reporter.
type Config struct {
	Peers            Peers
	Sink             Sink
	Logger           *zap.Logger
	AvailabilityZone string
	// Recoverer contains panics; nil contains none.
	Recoverer *recoverer.Recoverer
	// Weak states that this daemon is one of the weak members.
	Weak bool
	// References switches probes of backend servers on unless it is nil.
	References ReferenceFinder
}

// Reporter exchanges the health findings of one daemon. It is safe for concurrent use.
type Reporter struct {
	c        Config
	follower Follower
	counts   counts
	dialer   *dialer.Dialer // nil without probes

	mu         sync.Mutex
	aggregator *aggregator.Aggregator
	prober     *prober.Prober
	sweptAt    time.Time   // when the prober was swept
	timer      *time.Timer // calls sendDue
}

// New returns a Reporter. SetFollower must be called before it is used.
func New(c Config) *Reporter {
	r := &Reporter{c: c, aggregator: aggregator.New(c.Peers.Address(), c.References != nil)}
	if c.References != nil {
		r.prober, r.dialer = prober.New(c.Peers.Address()), dialer.New(r.handleProbe)
	}
	return r
}

// sendsToAll reports whether findings go to all peers of the zone instead of aggregators. Probes need aggregators.
func (r *Reporter) sendsToAll(peers int) bool { return peers <= meshPeers && r.dialer == nil }

// SetFollower sets the handler of the messages of earlier versions and of other kinds.
func (r *Reporter) SetFollower(f Follower) { r.follower = f }

// zone returns the other daemons of the own availability zone that aggregate findings, in random order after those that answer probes,
// and those of earlier versions.
func (r *Reporter) zone() (peers, legacy []netip.AddrPort) {
	var suspect []netip.AddrPort
	for _, m := range r.c.Peers.Members() {
		switch {
		case m.AvailabilityZone != r.c.AvailabilityZone || m.State == packer.StateDead || m.Leaving:
		case !m.AggregatesFindings:
			legacy = append(legacy, m.Address)
		case m.State == packer.StateAlive:
			peers = append(peers, m.Address)
		default:
			suspect = append(suspect, m.Address)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return append(peers, suspect...), legacy
}

// candidates returns the daemons among which the aggregators are chosen: this one and the peers, without the weak ones if enough others
// are left.
func (r *Reporter) candidates(peers []netip.AddrPort) []netip.AddrPort {
	self := r.c.Peers.Address()
	members := append(peers, self)
	weak := map[netip.AddrPort]bool{}
	for _, m := range r.c.Peers.Members() {
		if m.Weak {
			weak[m.Address] = true
		}
	}
	if r.c.Weak {
		weak[self] = true
	}
	if len(weak) == 0 {
		return members
	}
	strong := slices.DeleteFunc(slices.Clone(members), func(m netip.AddrPort) bool { return weak[m] })
	if len(strong) < aggregator.Aggregators {
		return members
	}
	return strong
}

// ReportFindings sends the findings of this daemon to the aggregators of the backend servers, and to daemons of earlier versions.
func (r *Reporter) ReportFindings(list []steerer.Finding) {
	peers, legacy := r.zone()
	if r.sendsToAll(len(peers)) {
		r.follower.SendFindings(list, append(peers, legacy...))
		return
	}
	if len(legacy) > 0 {
		r.follower.SendFindings(list, legacy)
	}
	self := r.c.Peers.Address()
	members := r.candidates(peers)
	batches := map[netip.AddrPort][]steerer.Finding{}
	now := time.Now()
	r.locked(func() {
		for _, f := range list {
			for _, to := range r.aggregator.Receivers(now, &f, members) {
				batches[to] = append(batches[to], f)
			}
		}
	})
	for to, batch := range batches {
		if to == self {
			r.add(self, batch)
			continue
		}
		for part := range slices.Chunk(batch, maxFindings) {
			payload, err := encodeReport(part)
			if err != nil {
				r.c.Logger.Error("health findings not sent: encoding failed", zap.Error(err))
				return
			}
			r.counts.reportsSent.Add(1)
			r.c.Peers.Notify(to, payload)
		}
	}
}

// AddFindings applies the findings that daemons of earlier versions have sent to all peers, and adds them to the evidence.
func (r *Reporter) AddFindings(list []steerer.Finding) {
	if peers, _ := r.zone(); !r.sendsToAll(len(peers)) {
		r.add(netip.AddrPort{}, list)
	}
	r.c.Sink.AddFindings(list)
}

// HandleNotice handles a message of a peer. After a panic the message is dropped.
func (r *Reporter) HandleNotice(from netip.AddrPort, payload []byte) {
	r.c.Recoverer.Do("notice", len(payload), func() { r.handleNotice(from, payload) })
}

// afterFunc calls f after d in a goroutine of its own.
func (r *Reporter) afterFunc(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(d, func() { r.c.Recoverer.Do("timer", 0, f) })
}

// locked calls f with mu held. A panic in f releases mu.
func (r *Reporter) locked(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func (r *Reporter) handleNotice(from netip.AddrPort, payload []byte) {
	switch kindOf(payload) {
	case kindReport:
		list, err := decodeReport(payload)
		if err != nil {
			r.c.Logger.Debug("health findings of a peer dropped: decoding failed", zap.Stringer("peer", from), zap.Error(err))
			return
		}
		r.counts.reportsReceived.Add(1)
		r.add(from, list)
	case kindFinding:
		m, err := decodeFinding(payload)
		if err != nil {
			r.c.Logger.Debug("health findings of a peer dropped: decoding failed", zap.Stringer("peer", from), zap.Error(err))
			return
		}
		r.counts.findingsReceived.Add(1)
		r.fanOut(m.origin, m.findings, m.targets)
		now := time.Now()
		r.locked(func() {
			for i := range m.findings {
				r.aggregator.RecordSent(now, &m.findings[i])
			}
		})
		r.c.Sink.AddFindings(m.findings)
	case kindOutcome:
		r.handleOutcome(from, payload)
	default:
		r.follower.HandleNotice(from, payload)
	}
}

// add adds findings to the evidence of the aggregator and sends what is due. The origin replaces that of the findings if it is valid.
func (r *Reporter) add(origin netip.AddrPort, list []steerer.Finding) {
	peers, _ := r.zone()
	members := r.candidates(peers)
	now := time.Now()
	var probes []steerer.Finding
	r.locked(func() { probes = r.addEvidence(now, origin, members, list) })
	r.sendDue()
	for i := range probes {
		r.startProbe(&probes[i])
	}
	if r.prober == nil {
		return
	}
	for i := range list {
		if list[i].Condition != steerer.Answering && list[i].Condition < steerer.Unreachable {
			r.conclude(list[i].Server)
		}
	}
}

// addEvidence adds findings to the evidence of the aggregator and of the prober, and returns those whose backend servers are to be probed now.
// The caller holds mu.
func (r *Reporter) addEvidence(now time.Time, origin netip.AddrPort, members []netip.AddrPort, list []steerer.Finding) (probes []steerer.Finding) {
	self := r.c.Peers.Address()
	for _, f := range list {
		if origin.IsValid() {
			f.Origin = origin
		}
		rank := slices.Index(aggregator.Choose(f.Server, members), self)
		if rank < 0 {
			rank = aggregator.Aggregators // the sender knows other members
		}
		r.aggregator.Add(now, rank, &f)
		if r.prober != nil && f.Condition < steerer.Unreachable {
			if due := r.prober.AddFinding(now, rank, &f); due.Equal(now) {
				probes = append(probes, f)
			} else if !due.IsZero() {
				r.afterFunc(due.Sub(now), func() { r.startProbe(&f) })
			}
		}
	}
	return probes
}

// sendDue sends the findings that are due to the zone and puts them in force here. It arms the timer for the next ones.
func (r *Reporter) sendDue() {
	now := time.Now()
	var list []steerer.Finding
	r.locked(func() {
		list = r.aggregator.Due(now)
		if next := r.aggregator.NextDue(); !next.IsZero() {
			if r.timer == nil {
				r.timer = r.afterFunc(next.Sub(now), r.sendDue)
			} else {
				r.timer.Reset(next.Sub(now))
			}
		}
	})
	if len(list) == 0 {
		return
	}
	peers, _ := r.zone()
	for part := range slices.Chunk(list, maxFindings) {
		r.fanOut(r.c.Peers.Address(), part, peers)
	}
	r.c.Sink.AddFindings(list)
}

// fanOut sends the findings of the aggregator origin to all targets: to some of them directly, with the remaining ones as the targets of relays.
func (r *Reporter) fanOut(origin netip.AddrPort, findings []steerer.Finding, targets []netip.AddrPort) {
	if len(targets) == 0 {
		return
	}
	perRelay := max(maxMessageBytes-len(findings)*findingBytes, 0) / addressBytes
	direct := min(max(fanOutDegree, (len(targets)+perRelay)/(perRelay+1)), len(targets))
	rest := targets[direct:]
	for i, to := range targets[:direct] {
		payload, err := encodeFinding(&findingMessage{origin, findings, rest[i*len(rest)/direct : (i+1)*len(rest)/direct]})
		if err != nil {
			r.c.Logger.Error("health findings not sent: encoding failed", zap.Error(err))
			return
		}
		r.counts.findingsSent.Add(1)
		r.c.Peers.Notify(to, payload)
	}
}
