package follower

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/encoder"
	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/modules/ranker"
	"github.com/bluebelldyke/bluebelldyke/services/lister"
)

const (
	// contactsPerZone is the number of daemons of each other availability zone that get an announcement. The second one covers the
	// loss of a datagram or of the first daemon.
	contactsPerZone = 2
	// maxDeltas limits the announcements of one read to 500 changed entries. If more changed, peers request the whole list.
	maxDeltas = 25
	// reorderWait is how long a delta that overtook its base waits for it: the jitter between availability zones.
	reorderWait = 30 * time.Millisecond
)

// announce tells the peers which documents this daemon has, with the deltas of the read that changed its backend list, if there are any.
func (f *Follower) announce(deltas []lister.Delta) {
	var messages []*encoder.Announcement
	degree := fanOutDegree
	f.locked(func() {
		messages = f.announcements(deltas)
		if len(deltas) > maxDeltas {
			degree = f.wholeDocumentDegree()
		}
	})
	f.sendAnnouncements(messages, true, degree)
}

// announcements returns the announcements of this daemon's documents, one for each delta. The caller holds mu.
func (f *Follower) announcements(deltas []lister.Delta) []*encoder.Announcement {
	now := time.Now()
	common := encoder.Announcement{Zone: f.c.AvailabilityZone, HasEra: true}
	if f.configuration != nil {
		common.ConfigVersion, common.ConfigRoutes, common.ConfigAge = f.configuration.Version, len(f.configuration.Routes), now.Sub(f.configAsOf)
		common.ConfigStoredAt, common.ConfigDigest = f.configStoredAt, f.configDigest
		if f.c.LimitsColdServers {
			common.Services = f.configuration.Services
		}
	}
	if !f.backendList.HasList() {
		common.Evacuations = f.evacuationSnapshot()
		return []*encoder.Announcement{&common}
	}
	common.BackendListAge = now.Sub(f.backendList.AsOf())
	if len(deltas) == 0 || len(deltas) > maxDeltas || deltas[len(deltas)-1].Digest != f.backendList.Digest() {
		// An empty delta: peers that have another list request the whole one.
		deltas = []lister.Delta{{Position: f.backendList.Position(), BaseDigest: f.backendList.Digest(), Digest: f.backendList.Digest()}}
	}
	list := make([]*encoder.Announcement, len(deltas))
	for i := range deltas {
		a := common
		a.Delta = deltas[i]
		list[i] = &a
	}
	if len(deltas) == 1 && len(deltas[0].ChangedServers) == 0 {
		list[0].Evacuations = f.evacuationSnapshot()
	} else if a := f.evacuationAnnouncement(); a != nil { // the changes may fill the datagram
		list = slices.Insert(list, 0, a)
	}
	return list
}

// zonePeers returns the other members of the own availability zone. Members that answer probes and are not weak come first, in random
// order, because the first ones relay messages.
func (f *Follower) zonePeers() []netip.AddrPort {
	var alive, weak, others []netip.AddrPort
	for _, m := range f.c.Peers.Members() {
		switch {
		case m.AvailabilityZone != f.c.AvailabilityZone || m.State == packer.StateDead || m.Leaving:
		case m.State == packer.StateAlive && m.Weak:
			weak = append(weak, m.Address)
		case m.State == packer.StateAlive:
			alive = append(alive, m.Address)
		default:
			others = append(others, m.Address)
		}
	}
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return append(append(alive, weak...), others...)
}

// crossZoneContacts returns contactsPerZone members of each other availability zone.
func (f *Follower) crossZoneContacts() []netip.AddrPort {
	var list []netip.AddrPort
	zones := map[string][]netip.AddrPort{}
	for _, m := range f.c.Peers.Members() {
		if m.AvailabilityZone != f.c.AvailabilityZone && m.State != packer.StateDead && !m.Leaving {
			zones[m.AvailabilityZone] = append(zones[m.AvailabilityZone], m.Address)
		}
	}
	for zone, members := range zones {
		list = append(list, ranker.Top("contact "+zone, contactsPerZone, f.preferStrong(members))...)
	}
	return list
}

// sendAnnouncements sends announcements to the own availability zone, to degree of its daemons directly, and, if crossZone is set, to the contacts in the others.
func (f *Follower) sendAnnouncements(messages []*encoder.Announcement, crossZone bool, degree int) {
	zone := f.zonePeers()
	var contacts []netip.AddrPort
	if crossZone {
		contacts = f.crossZoneContacts()
	}
	forms := f.announcementForms()
	for _, form := range encoder.Forms() {
		isOther := func(to netip.AddrPort) bool { return forms[to] != form }
		f.sendEncoded(messages, form, slices.DeleteFunc(slices.Clone(contacts), isOther), slices.DeleteFunc(slices.Clone(zone), isOther), degree)
	}
}

// sendEncoded sends announcements in the given form to contacts in other availability zones and to peers in the own one.
func (f *Follower) sendEncoded(messages []*encoder.Announcement, form encoder.Form, contacts, zone []netip.AddrPort, degree int) {
	if len(contacts)+len(zone) == 0 {
		return
	}
	for _, a := range messages {
		if a.HasOnlyEvacuations() && form != encoder.WithEvacuations {
			continue
		}
		payload, err := a.Encode(form)
		if err != nil {
			f.c.Logger.Error("announcement not sent: encoding failed", zap.Error(err))
			return
		}
		for _, to := range contacts {
			f.c.Peers.Notify(to, payload)
		}
		f.fanOut(payload, zone, degree)
	}
}

// handleAnnouncement applies the announcement of a peer and, if it came from another availability zone and brought something new,
// forwards it within the own one.
func (f *Follower) handleAnnouncement(from netip.AddrPort, a *encoder.Announcement) {
	if f.applyAnnouncement(from, a) {
		a.Zone = f.c.AvailabilityZone
		a.BackendListAge += transitTime
		a.ConfigAge += transitTime
		f.sendAnnouncements([]*encoder.Announcement{a}, false, fanOutDegree)
	}
}

// applyAnnouncement applies the announcement of a peer, and reports whether it is to be forwarded.
func (f *Follower) applyAnnouncement(from netip.AddrPort, a *encoder.Announcement) (forward bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.publishAgesAndUnlock()
	f.source = from.String()
	fresher, changed := false, false
	if a.HasEra {
		f.noteEra(max(a.Delta.Era, a.ConfigStoredAt.Era))
	}
	zonesChanged, zonesFresher := f.mergeEvacuations(a.Evacuations) // before a list, which ends the wait for new flows after a pause
	if a.Delta.Revision > 0 {
		asOf := now.Add(-a.BackendListAge - transitTime)
		f.latestAnnouncement = peerAnnouncement{now, a.Delta.Digest, a.ConfigVersion}
		if !a.HasEra {
			a.Delta.Position = f.positionWithoutEra(a.Delta.Revision, asOf)
		}
		before := f.backendList.AsOf()
		outcome := f.applyDelta(from, asOf, &a.Delta)
		fresher, changed = f.backendList.AsOf().After(before), outcome == lister.Changed || outcome == lister.BaseMismatch
	}
	switch {
	case a.ConfigVersion == 0:
	case f.configuration == nil || a.ConfigVersion > f.configuration.Version:
		f.obtainConfiguration(now, from, a)
	case a.ConfigVersion < f.configuration.Version:
	case a.HasEra && a.ConfigDigest != f.configDigest:
		if f.isWanted(a.ConfigVersion, a.ConfigStoredAt) {
			f.obtainConfiguration(now, from, a)
		}
	case a.HasEra || f.calls.restores.Load() == 0: // otherwise a daemon that knows no eras may hold the content of a lost version
		f.configStoredAt = directory.Later(f.configStoredAt, a.ConfigStoredAt)
		before := f.configAsOf
		f.adoptConfiguration(nil, now.Add(-a.ConfigAge-transitTime))
		fresher = fresher || f.configAsOf.After(before)
	}
	f.adoptServices(a)
	fresher, changed = fresher || zonesFresher, changed || zonesChanged
	if f.evacuations != nil && a.Evacuations != nil {
		a.Evacuations = f.evacuationSnapshot()
	}
	return (fresher || changed) && a.Zone != f.c.AvailabilityZone
}

// applyDelta applies a delta, and those that arrived before it although they follow it: datagrams may overtake each other. A delta whose
// base is not the current list waits for reorderWait; if its base has not arrived by then, the whole list is requested. The caller holds
// mu.
func (f *Follower) applyDelta(from netip.AddrPort, asOf time.Time, d *lister.Delta) lister.Outcome {
	outcome := f.backendList.Apply(asOf, d)
	switch {
	case outcome == lister.BaseMismatch && len(f.pendingDeltas) < maxDeltas:
		f.pendingDeltas = append(f.pendingDeltas, pendingDelta{*d, asOf})
		if len(f.pendingDeltas) == 1 {
			f.afterFunc(reorderWait, func() { f.resolvePendingDeltas(from) })
		}
	case outcome == lister.Changed:
		for i := 0; i < len(f.pendingDeltas); i++ {
			if p := f.pendingDeltas[i]; f.backendList.Apply(p.asOf, &p.delta) == lister.Changed {
				f.pendingDeltas = slices.Delete(f.pendingDeltas, i, i+1)
				i = -1
			}
		}
	}
	f.publishBackendList(outcome)
	return outcome
}

// resolvePendingDeltas applies the pending deltas whose base has not arrived as chains, because their sender may have read another list
// before than this daemon. If that is not possible, it requests the whole list. It drops the pending deltas.
func (f *Follower) resolvePendingDeltas(from netip.AddrPort) {
	isFirst := f.isPaced() && f.rank().Member == 0
	f.mu.Lock()
	defer f.publishAgesAndUnlock()
	pending := f.pendingDeltas
	f.pendingDeltas = nil
	f.source = from.String()
	mismatch := false
	for i := range pending {
		last := &pending[i]
		if last.delta.HasMore {
			continue
		}
		outcome := f.backendList.Apply(last.asOf, &last.delta)
		if outcome == lister.BaseMismatch && f.backendList.ApplyChain(last.asOf, chainTo(pending, i)) {
			outcome = lister.Changed
		}
		mismatch = mismatch || outcome == lister.BaseMismatch
		f.publishBackendList(outcome)
	}
	for i := range pending { // the last step of a change may be lost
		outcome := f.backendList.Apply(pending[i].asOf, &pending[i].delta)
		mismatch = mismatch || outcome == lister.BaseMismatch
		f.publishBackendList(outcome)
	}
	switch {
	case !mismatch:
	case isFirst && f.staysInZone(encoder.BackendListDocument):
		signal(f.backendListWake)
	default:
		f.requestDocument(from, encoder.BackendListDocument)
	}
}

// chainTo returns the pending deltas that lead to the one with the index last, in their order.
func chainTo(pending []pendingDelta, last int) []lister.Delta {
	chain := []lister.Delta{pending[last].delta}
	for len(chain) <= len(pending) {
		i := slices.IndexFunc(pending, func(p pendingDelta) bool { return p.delta.Digest == chain[0].BaseDigest })
		if i < 0 {
			break
		}
		chain = slices.Insert(chain, 0, pending[i].delta)
	}
	return chain
}

// pendingDelta is a delta that waits for the one that leads to its base.
type pendingDelta struct {
	delta lister.Delta
	asOf  time.Time
}
