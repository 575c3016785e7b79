package relayer

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/models/view"
	"github.com/bluebelldyke/bluebelldyke/services/reviser"
)

// evacuationEntries returns an audit entry for each document that begins or ends the evacuation of places, compared with the
// previous view. The caller holds r.applyMu.
func (r *Relayer) evacuationEntries(v *view.View) []AuditEntry {
	places := v.Tree.EvacuatedPlaces()
	current := make(map[string]bool, len(places))
	changes := map[string]evacuationChange{}
	for _, place := range places {
		current[place] = true
		if !r.evacuated[place] {
			c := changes[v.DocumentFor(place).Name]
			c.begun = append(c.begun, place)
			changes[v.DocumentFor(place).Name] = c
		}
	}
	for _, place := range slices.Sorted(maps.Keys(r.evacuated)) {
		if !current[place] {
			c := changes[v.DocumentFor(place).Name]
			c.ended = append(c.ended, place)
			changes[v.DocumentFor(place).Name] = c
		}
	}
	r.evacuated = current
	var entries []AuditEntry
	for _, d := range v.Tree.Documents() {
		if c, ok := changes[d.Name]; ok {
			entries = append(entries, c.entry(d, r.cfg.Self.String()))
		}
	}
	return entries
}

// evacuationChange lists the places whose evacuation a document begins and ends.
type evacuationChange struct{ begun, ended []string }

func (c evacuationChange) entry(d settings.Document, source string) AuditEntry {
	var parts []string
	if len(c.begun) > 0 {
		parts = append(parts, "evacuated: "+strings.Join(c.begun, ", "))
	}
	if len(c.ended) > 0 {
		parts = append(parts, "no longer evacuated: "+strings.Join(c.ended, ", "))
	}
	return AuditEntry{
		Time: time.Now(), Document: d.Name, Revision: d.Revision, RevisionInForce: d.Revision, Source: source,
		Outcome: reviser.Applied, Cause: reviser.CauseEvacuationChanged, Detail: strings.Join(parts, "; "),
	}
}
