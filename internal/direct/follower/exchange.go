package follower

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/modules/ranker"
	"github.com/bluebelldyke/bluebelldyke/services/lister"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

const (
	// contactsPerZone is how many daemons of another availability zone are told: the second one covers the loss of a
	// datagram or of the first one.
	contactsPerZone = 2
	// transit is added to the age of what a peer tells, for the way of the message.
	transit = 20 * time.Millisecond
	// partSize is the length of the parts in which a whole document is sent: one fits a datagram.
	partSize = 1100
	// maxParts bounds a document: a list of 29,000 backend servers takes 1.3 MB.
	maxParts = 2048
	// askInterval is the shortest time between two requests for the same document: it covers the transfer of a usual one.
	askInterval = 150 * time.Millisecond
	// maxSteps bounds the messages about one read: 500 changed entries. With more, peers ask for the whole list.
	maxSteps = 25
	// partsAbroad bounds a document that goes to another zone: the platform's users price a call like 45 KB between zones.
	partsAbroad = 16
	// reorderWait is how long a step waits for one that it overtook: the jitter of a way across zones.
	reorderWait = 30 * time.Millisecond
	// maxFindings bounds the findings of one message, which then takes 1,000 bytes.
	maxFindings = 40
	// largeConfiguration is the number of routes above which a configuration is read from the platform: 100 take 6 KB,
	// which a link of 10 Mbit/s carries to 25 daemons in 0.1 s.
	largeConfiguration = 100
	// wantedWait is how long a peer may take to send a configuration: the time of two requests.
	wantedWait = 2 * askInterval
)

// announce tells the peers what this daemon believes, with the steps from the list before, if there were any.
func (f *Follower) announce(steps []lister.Delta) {
	f.mu.Lock()
	messages := f.news(steps)
	f.unlock()
	f.tell(messages, true)
}

// news returns what this daemon believes, one message for each step. The caller holds mu.
func (f *Follower) news(steps []lister.Delta) []*news {
	now := time.Now()
	n := news{zone: f.c.AvailabilityZone}
	if f.configuration != nil {
		n.configVersion, n.configRoutes, n.configAge = f.configuration.Version, len(f.configuration.Routes), now.Sub(f.configAsOf)
	}
	if !f.servers.HasList() {
		return []*news{&n}
	}
	n.listingAge = now.Sub(f.servers.AsOf())
	if len(steps) == 0 || len(steps) > maxSteps || steps[len(steps)-1].Digest != f.servers.Digest() {
		// Peers that have another list ask for the whole one.
		steps = []lister.Delta{{Revision: f.servers.Revision(), BaseDigest: f.servers.Digest(), Digest: f.servers.Digest()}}
	}
	list := make([]*news, len(steps))
	for i := range steps {
		m := n
		m.delta = steps[i]
		list[i] = &m
	}
	return list
}

// near returns the other members of the own availability zone. Those that answer come first, in random order: the first ones pass
// messages on.
func (f *Follower) near() []netip.AddrPort {
	var alive, others []netip.AddrPort
	for _, m := range f.c.Peers.Members() {
		switch {
		case m.AvailabilityZone != f.c.AvailabilityZone || m.State == packer.StateDead || m.Leaving:
		case m.State == packer.StateAlive:
			alive = append(alive, m.Address)
		default:
			others = append(others, m.Address)
		}
	}
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return append(alive, others...)
}

// contacts returns some members of each other availability zone.
func (f *Follower) contacts() []netip.AddrPort {
	var list []netip.AddrPort
	zones := map[string][]netip.AddrPort{}
	for _, m := range f.c.Peers.Members() {
		if m.AvailabilityZone != f.c.AvailabilityZone && m.State != packer.StateDead && !m.Leaving {
			zones[m.AvailabilityZone] = append(zones[m.AvailabilityZone], m.Address)
		}
	}
	for zone, members := range zones {
		list = append(list, ranker.Top("contact "+zone, contactsPerZone, members)...)
	}
	return list
}

// tell sends news to the own availability zone, and to contacts in the others when abroad is set.
func (f *Follower) tell(messages []*news, abroad bool) {
	zone := f.near()
	var contacts []netip.AddrPort
	if abroad {
		contacts = f.contacts()
	}
	for _, n := range messages {
		payload, err := n.encode()
		if err != nil {
			f.c.Logger.Error("news not encoded", zap.Error(err))
			return
		}
		for _, to := range contacts {
			f.c.Peers.Notify(to, payload)
		}
		f.spread(payload, zone)
	}
}

// Notified takes a message of a peer.
func (f *Follower) Notified(from netip.AddrPort, payload []byte) {
	m, err := decode(payload)
	if err != nil {
		f.c.Logger.Debug("message of a peer not understood", zap.Stringer("peer", from), zap.Error(err))
		return
	}
	switch m := m.(type) {
	case *news:
		f.heard(from, m)
	case *relay:
		f.passOn(from, m)
	case *request:
		f.serve(from, m)
	case *part:
		f.collect(m)
	case findings:
		for i := range m {
			m[i].Origin = from
		}
		f.c.Sink.AddFindings(m)
	}
}

// Report tells the peers of the own availability zone what this daemon found out about backend servers, and the evidence of what it
// cannot judge alone.
func (f *Follower) Report(list []steerer.Finding) {
	var judged findings
	var evidence doubts
	for _, finding := range list {
		if finding.Condition != steerer.Inconclusive {
			judged = append(judged, finding)
		}
		if finding.Condition != steerer.Silent && finding.Evidence.RetransmittingFlows > 0 {
			evidence = append(evidence, finding)
		}
	}
	for batch := range slices.Chunk(judged, maxFindings) {
		f.report(batch.encode())
	}
	for batch := range slices.Chunk(evidence, maxFindings) {
		f.report(batch.encode())
	}
}

func (f *Follower) report(payload []byte, err error) {
	if err != nil {
		f.c.Logger.Error("findings not encoded", zap.Error(err))
		return
	}
	for _, address := range f.near() {
		f.c.Peers.Notify(address, payload)
	}
}

// heard takes the beliefs of a peer, and tells the own zone when they came from another one.
func (f *Follower) heard(from netip.AddrPort, n *news) {
	now := time.Now()
	f.mu.Lock()
	fresher, changed := false, false
	if n.delta.Revision > 0 {
		asOf := now.Add(-n.listingAge - transit)
		before := f.servers.AsOf()
		outcome := f.take(from, asOf, &n.delta)
		fresher, changed = f.servers.AsOf().After(before), outcome == lister.Changed || outcome == lister.BaseMismatch
	}
	switch {
	case n.configVersion == 0:
	case f.configuration == nil || n.configVersion > f.configuration.Version:
		f.want(now, from, n)
	case n.configVersion == f.configuration.Version:
		before := f.configAsOf
		f.adopt(nil, now.Add(-n.configAge-transit))
		fresher = fresher || f.configAsOf.After(before)
	}
	forward := (fresher || changed) && n.zone != f.c.AvailabilityZone
	f.unlock()
	if forward {
		n.zone = f.c.AvailabilityZone
		n.listingAge += transit
		n.configAge += transit
		f.tell([]*news{n}, false)
	}
}

// take applies a step, and those that arrived before it. A step whose base is not held waits a moment: datagrams may
// overtake each other. If its base does not come, the whole list is requested. The caller holds mu.
func (f *Follower) take(from netip.AddrPort, asOf time.Time, d *lister.Delta) lister.Outcome {
	outcome := f.servers.Apply(asOf, d)
	switch {
	case outcome == lister.BaseMismatch && len(f.pending) < maxSteps:
		f.pending = append(f.pending, pendingStep{*d, asOf})
		if len(f.pending) == 1 {
			time.AfterFunc(reorderWait, func() { f.settle(from) })
		}
	case outcome == lister.Changed:
		for i := 0; i < len(f.pending); i++ {
			if p := f.pending[i]; f.servers.Apply(p.asOf, &p.delta) == lister.Changed {
				f.pending = slices.Delete(f.pending, i, i+1)
				i = -1
			}
		}
	}
	f.apply(outcome)
	return outcome
}

// settle requests the whole list when steps still wait for their base.
func (f *Follower) settle(from netip.AddrPort) {
	f.mu.Lock()
	defer f.unlock()
	for _, p := range f.pending {
		if f.servers.Apply(p.asOf, &p.delta) == lister.BaseMismatch {
			f.request(from, listingDocument)
			break
		}
	}
	f.pending = nil
}

// pendingStep is a step that waits for its base.
type pendingStep struct {
	delta lister.Delta
	asOf  time.Time
}

// want gets a newer configuration that a peer has: a small one from the peer, a large one from the platform, because the
// link of a small VM can't carry it to a whole zone. If it does not come, it is read from the other one.
func (f *Follower) want(now time.Time, from netip.AddrPort, n *news) {
	if f.wanted < n.configVersion {
		f.wanted, f.wantedAt = n.configVersion, now
		if n.configRoutes > largeConfiguration {
			f.wantedAt = now.Add(-wantedWait)
		}
		signal(f.configReads)
	}
	if n.configRoutes <= largeConfiguration || now.Sub(f.wantedAt) > 2*wantedWait {
		f.request(from, configurationDocument)
	}
}

// ask requests a document from the seeds and a random peer.
func (f *Follower) ask(document document) {
	f.mu.Lock()
	peers := slices.Clone(f.c.Seeds)
	f.unlock()
	if members := append(f.near(), f.contacts()...); len(members) > 0 {
		peers = append(peers[:0], members[rand.IntN(len(members))])
	}
	f.mu.Lock()
	defer f.unlock()
	asked := f.asked[document]
	for _, p := range peers {
		f.asked[document] = asked
		f.request(p, document)
	}
}

// request asks a peer for a document, at most once per askInterval. The caller holds mu.
func (f *Follower) request(from netip.AddrPort, document document) {
	now := time.Now()
	if from == f.c.Peers.Address() || now.Sub(f.asked[document]) < askInterval {
		return
	}
	f.asked[document] = now
	insist := f.calls.lost[callListing].Load() || f.calls.lost[callCheck].Load()
	payload, err := (&request{document: document, insist: insist}).encode()
	if err == nil {
		f.c.Peers.Notify(from, payload)
	}
}

// serve sends a whole document. A large one goes to another zone only if its daemon insists: a read of the platform costs
// less than its bytes.
func (f *Follower) serve(to netip.AddrPort, r *request) {
	now := time.Now()
	document := r.document
	near := f.isNear(to)
	f.mu.Lock()
	p := part{document: document}
	var content []byte
	var err error
	switch {
	case document == listingDocument && f.servers.HasList():
		p.revision, p.identity, p.age = f.servers.Revision(), f.servers.Digest(), now.Sub(f.servers.AsOf())
		content, err = encodeListing(f.servers.BackendList())
	case document == configurationDocument && f.configuration != nil:
		p.revision, p.identity, p.age = f.configAt, f.configuration.Version, now.Sub(f.configAsOf)
		content, err = encodeConfiguration(f.configuration)
	}
	f.unlock()
	if err != nil || content == nil {
		return
	}
	p.count = (len(content) + partSize - 1) / partSize
	if p.count > partsAbroad && !near && !r.insist {
		return
	}
	for p.index = 0; p.index < p.count; p.index++ {
		p.content = content[p.index*partSize : min((p.index+1)*partSize, len(content))]
		payload, err := p.encode()
		if err != nil {
			f.c.Logger.Error("part of a document not encoded", zap.Error(err))
			return
		}
		f.c.Peers.Notify(to, payload)
	}
}

// isNear reports whether a daemon is known to be in the own availability zone.
func (f *Follower) isNear(address netip.AddrPort) bool {
	return slices.Contains(f.c.Peers.Zone(), address)
}

// transfer is a document that arrives in parts.
type transfer struct {
	revision, identity uint64
	parts              [][]byte
	missing            int
}

// add takes a part and returns the whole content when it was the last one.
func (t *transfer) add(p *part) []byte {
	if t.revision != p.revision || t.identity != p.identity || len(t.parts) != p.count {
		*t = transfer{revision: p.revision, identity: p.identity, parts: make([][]byte, p.count), missing: p.count}
	}
	if t.parts[p.index] != nil {
		return nil
	}
	t.parts[p.index] = p.content
	if t.missing--; t.missing > 0 {
		return nil
	}
	var content []byte
	for _, b := range t.parts {
		content = append(content, b...)
	}
	*t = transfer{}
	return content
}

// collect takes a part of a document, and the document with its last part.
func (f *Follower) collect(p *part) {
	f.mu.Lock()
	defer f.unlock()
	content := f.incoming[p.document].add(p)
	if content == nil {
		return
	}
	asOf := time.Now().Add(-p.age - transit)
	switch p.document {
	case listingDocument:
		l, err := decodeListing(content)
		if err != nil {
			f.c.Logger.Warn("list of a peer not understood: check that all daemons run compatible versions", zap.Error(err))
			return
		}
		if f.stale(listingDocument, asOf) {
			return
		}
		l.Revision = p.revision
		_, outcome := f.servers.Replace(asOf, l)
		f.apply(outcome)
	case configurationDocument:
		c, err := decodeConfiguration(content)
		if err != nil {
			f.c.Logger.Warn("configuration of a peer not understood: check that all daemons run compatible versions", zap.Error(err))
			return
		}
		if f.stale(configurationDocument, asOf) {
			return
		}
		c.Version = p.identity
		f.configAt = max(f.configAt, p.revision)
		f.adopt(c, asOf)
	}
}

// stale reports whether a document of a peer is too old to start with: a peer that was cut off still believes in backend servers that
// have left and in routes that were removed. A daemon that cannot read the platform takes it all the same. The caller holds mu.
func (f *Follower) stale(d document, asOf time.Time) bool {
	known, bound := f.servers.HasList(), f.c.Bounds.Leaving
	if d == configurationDocument {
		known, bound = f.configuration != nil, f.c.Bounds.Configuration
	}
	return !known && time.Since(asOf) > bound && !f.calls.lost[callListing].Load()
}
