package follower

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/encoder"
	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/services/evacuator"
	"github.com/bluebelldyke/bluebelldyke/services/pacer"
)

// MessageEvacuations is the log message of a change of the evacuated availability zones. services/explainer matches it.
const MessageEvacuations = "evacuated availability zones"

// maxBackendListHold is how long the first backend list of a starting daemon waits for the evacuated zones. The store answers within 400 ms
// when it is slow.
const maxBackendListHold = 500 * time.Millisecond

// nextBackendListRead returns when a read of the backend list is due, which also reads the evacuated zones. Daemons of earlier versions
// announce no evacuated zones, so the list may be fresh while the zones are not. The caller holds mu.
func (f *Follower) nextBackendListRead(rank pacer.Rank) time.Time {
	due := f.backendListPacer.NextRead(f.backendList.AsOf(), rank)
	if f.evacuations == nil {
		return due
	}
	if !f.evacuations.IsKnown() {
		return time.Time{}
	}
	if evacuationsDue := f.evacuationPacer.NextRead(f.evacuations.AsOf(), rank); evacuationsDue.Before(due) {
		return evacuationsDue
	}
	return due
}

// hasInitialView reports whether a starting daemon has got what a read of the backend list brings. The caller holds mu.
func (f *Follower) hasInitialView() bool {
	return f.backendList.HasList() && (f.evacuations == nil || f.evacuations.IsKnown())
}

// watchPosition returns the position from which a watch has to continue: up to there, both the configuration and the evacuated zones are
// known. The caller holds mu.
func (f *Follower) watchPosition() directory.Position {
	if f.evacuations != nil && f.evacuations.IsKnown() {
		if p := f.evacuations.Position(); p.Era == f.configCursor.Era && p.IsBefore(f.configCursor) && !p.IsZero() && p != f.lostWatchPosition {
			return p
		}
	}
	return f.configCursor
}

// evacuationPosition returns the position of the evacuated zones, zero if they are unknown. The caller holds mu.
func (f *Follower) evacuationPosition() directory.Position {
	if f.evacuations == nil {
		return directory.Position{}
	}
	return f.evacuations.Position()
}

// replaceEvacuations puts a set in force that a read which started at asOf returned, when the view was at the position before. It reports
// whether the view is as recent as the read. The caller holds mu.
func (f *Follower) replaceEvacuations(asOf time.Time, set *directory.Evacuations, before directory.Position) bool {
	if f.evacuations == nil {
		return true
	}
	if set == nil {
		return false
	}
	outcome := f.evacuations.Replace(time.Now(), asOf, set)
	if outcome == evacuator.Outdated && !set.Position.IsBefore(before) { // a watch or a peer has reported a later change meanwhile
		f.evacuations.Confirm(asOf)
	}
	f.publishEvacuations(outcome)
	return !f.evacuations.AsOf().Before(asOf)
}

// applyEvacuationChanges applies the changes that a call which started at asOf reported after the position. It reports whether the
// evacuated zones changed. The caller holds mu.
func (f *Follower) applyEvacuationChanges(asOf time.Time, after directory.Position, changes *Changes) bool {
	if f.evacuations == nil || after.IsZero() {
		return false
	}
	outcome := f.evacuations.Apply(time.Now(), asOf, after, changes.Evacuations, changes.Position)
	if outcome == evacuator.ReadNeeded && len(changes.Evacuations) > 0 {
		signal(f.backendListWake)
	}
	return f.publishEvacuations(outcome)
}

// mergeEvacuations puts the set of a peer in force. It reports whether it changed the view or made it more recent. The caller holds mu.
func (f *Follower) mergeEvacuations(s *evacuator.Snapshot) (changed, fresher bool) {
	if f.evacuations == nil || s == nil {
		return false, false
	}
	f.noteEra(s.Era)
	before := f.evacuations.AsOf()
	changed = f.publishEvacuations(f.evacuations.Merge(time.Now(), transitTime, s))
	return changed, f.evacuations.AsOf().After(before)
}

// publishEvacuations passes the evacuated zones to the sink if the outcome is that they changed, and reports whether it is. The caller
// holds mu.
func (f *Follower) publishEvacuations(outcome evacuator.Outcome) bool {
	if outcome != evacuator.Changed {
		return false
	}
	zones := f.evacuations.Zones()
	f.c.Sink.SetEvacuations(zones, f.evacuations.RevokedAt())
	f.publishHeldBackendList()
	if !slices.Equal(zones, f.publishedZones) {
		f.publishedZones = zones
		p := f.evacuations.Position()
		f.recordChange(evacuationView, p.Revision, "evacuated: "+strings.Join(zones, ", "))
		f.c.Logger.Info(MessageEvacuations, zap.Strings("zones", zones), zap.Uint64("era", p.Era), zap.Uint64("revision", p.Revision),
			zap.Duration("age", time.Since(f.evacuations.AsOf())))
	}
	f.scheduleExpiry()
	return true
}

// scheduleExpiry arms the timer of the next zone that ceases to be evacuated without a message. The caller holds mu.
func (f *Follower) scheduleExpiry() {
	next := f.evacuations.NextExpiry()
	switch {
	case next.IsZero():
	case f.expiryTimer == nil:
		f.expiryTimer = f.afterFunc(time.Until(next), f.expireEvacuations)
	default:
		f.expiryTimer.Reset(time.Until(next))
	}
}

// holdsBackendList reports whether the first backend list has to wait for the evacuated zones, without which a starting daemon would open
// flows there. The list of a peer may arrive first, or the peer may be of a version that knows no evacuations. The caller holds mu.
func (f *Follower) holdsBackendList() bool {
	if f.evacuations == nil || f.evacuations.IsKnown() || f.listReleased {
		return false
	}
	if !f.listHeld {
		f.listHeld = true
		f.afterFunc(maxBackendListHold, f.releaseBackendList)
	}
	return true
}

// releaseBackendList ends the wait of the first backend list for the evacuated zones.
func (f *Follower) releaseBackendList() {
	f.mu.Lock()
	defer f.publishAgesAndUnlock()
	f.listReleased = true
	f.publishHeldBackendList()
}

// publishHeldBackendList passes the backend list that has waited for the evacuated zones to the sink. The caller holds mu.
func (f *Follower) publishHeldBackendList() {
	if f.listHeld {
		f.listHeld, f.listReleased = false, true
		f.c.Sink.SetBackendList(f.backendList.BackendListAt(time.Now()))
	}
}

// expireEvacuations drops the zones that a restored store lacks and whose evacuation was not requested again in time.
func (f *Follower) expireEvacuations() {
	f.mu.Lock()
	defer f.publishAgesAndUnlock()
	f.source = expirySource
	if f.evacuations.Expire(time.Now()) {
		f.publishEvacuations(evacuator.Changed)
	} else { // the set of a peer has extended the time
		f.scheduleExpiry()
	}
}

// evacuationSnapshot returns the set for peers, nil if there is none. The caller holds mu.
func (f *Follower) evacuationSnapshot() *evacuator.Snapshot {
	if f.evacuations == nil || !f.evacuations.IsKnown() {
		return nil
	}
	return f.evacuations.Snapshot(time.Now())
}

// evacuationAnnouncement returns an announcement of the evacuated zones alone, nil if the set is unknown. The caller holds mu.
func (f *Follower) evacuationAnnouncement() *encoder.Announcement {
	s := f.evacuationSnapshot()
	if s == nil {
		return nil
	}
	return &encoder.Announcement{Zone: f.c.AvailabilityZone, HasEra: true, Evacuations: s}
}

// announceEvacuations tells the peers the evacuated zones at once.
func (f *Follower) announceEvacuations() {
	var a *encoder.Announcement
	f.locked(func() { a = f.evacuationAnnouncement() })
	if a != nil {
		f.sendAnnouncements([]*encoder.Announcement{a}, true, fanOutDegree)
	}
}

// sendEvacuations sends the evacuated zones to a peer that requests the backend list. A daemon that has just started may not be a member
// yet; one of an earlier version drops the message.
func (f *Follower) sendEvacuations(to netip.AddrPort) {
	if f.evacuations == nil {
		return
	}
	if i := slices.IndexFunc(f.c.Peers.Members(), func(m packer.Member) bool { return m.Address == to }); i >= 0 && f.announcementForms()[to] != encoder.WithEvacuations {
		return
	}
	var a *encoder.Announcement
	f.locked(func() { a = f.evacuationAnnouncement() })
	if a == nil {
		return
	}
	payload, err := a.Encode(encoder.WithEvacuations)
	if err != nil {
		f.c.Logger.Error("evacuated zones not sent: encoding failed", zap.Error(err))
		return
	}
	f.c.Peers.Notify(to, payload)
}

// preferEvacuationPeers returns those of the members that send the evacuated zones with the backend list, all members if none does or the
// deployment has no evacuations.
func (f *Follower) preferEvacuationPeers(members []netip.AddrPort) []netip.AddrPort {
	forms := f.announcementForms()
	preferred := slices.DeleteFunc(slices.Clone(members), func(m netip.AddrPort) bool { return forms[m] != encoder.WithEvacuations })
	if len(preferred) == 0 {
		return members
	}
	return preferred
}

// announcementForms returns the form of announcements for each member.
func (f *Follower) announcementForms() map[netip.AddrPort]encoder.Form {
	members := f.c.Peers.Members()
	forms := make(map[netip.AddrPort]encoder.Form, len(members))
	for _, m := range members {
		switch {
		case m.KnowsEras && m.KnowsEvacuations && f.evacuations != nil:
			forms[m.Address] = encoder.WithEvacuations
		case m.KnowsEras:
			forms[m.Address] = encoder.WithEras
		}
	}
	return forms
}

// adoptServices takes over what a peer's announcement of the configuration in force states about its services. A configuration that was
// transferred from a peer lacks them. The caller holds mu.
func (f *Follower) adoptServices(a *encoder.Announcement) {
	if !f.c.LimitsColdServers || len(a.Services) == 0 || f.configuration == nil || len(f.configuration.Services) > 0 || a.ConfigVersion != f.configuration.Version ||
		a.ConfigDigest != f.configDigest {
		return
	}
	c := *f.configuration
	c.Services = a.Services
	f.configuration = &c
	f.c.Sink.SetConfiguration(&c)
}
