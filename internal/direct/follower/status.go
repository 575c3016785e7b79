package follower

import (
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/services/auditor"
)

// Sources of content, besides the addresses of peers.
const (
	platformSource = "platform"
	expirySource   = "expiry" // an evacuation that a restored store lacks has ended
)

// AuditTrail records changes of what a daemon knows.
type AuditTrail interface{ Record(auditor.Entry) }

// ViewStatus describes a view for operators.
type ViewStatus struct {
	Name     string
	Position directory.Position
	Version  uint64 // of the configuration; 0 for other views
	Age      time.Duration
	Source   string // "platform", the address of a peer, or "" while the view has no content
	IsReader bool   // this daemon reads it from the platform for its peers
}

// recordChange records that the content that is being handled has changed a view. The caller holds mu.
func (f *Follower) recordChange(v view, revision uint64, cause string) {
	f.sources[v] = f.source
	if f.c.Audit == nil {
		return
	}
	f.c.Audit.Record(auditor.Entry{
		Time: time.Now(), Document: viewNames[v], Revision: revision, Source: f.source, Outcome: auditor.Applied, Cause: cause,
	})
}

// Views returns the state of the views that the deployment has.
func (f *Follower) Views() []ViewStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []ViewStatus
	for _, v := range f.views() {
		s := ViewStatus{Name: viewNames[v], Age: f.ages.age(v), Source: f.sources[v], IsReader: f.isReader[v].Load()}
		switch v {
		case backendListView:
			s.Position = f.backendList.Position()
		case configurationView:
			s.Position = f.configStoredAt
			if f.configuration != nil {
				s.Version = f.configuration.Version
			}
		case evacuationView:
			s.Position = f.evacuations.Position()
		}
		list = append(list, s)
	}
	return list
}

// EvacuatedZones returns the availability zones that are evacuated, sorted.
func (f *Follower) EvacuatedZones() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.evacuations == nil {
		return nil
	}
	return f.evacuations.Zones()
}
