package settings

import (
	"slices"

	"github.com/bluebelldyke/bluebelldyke/modules/inspector"
)

const (
	fullEvacuationKey    = "allow-full-evacuation"
	fullEvacuationCause  = "every place is evacuated, so that all new requests and feeds would be rejected"
	fullEvacuationRemedy = "leave one place in use, or set " + fullEvacuationKey + " = true in " + RootDocumentName
)

// EvacuatedPlaces returns the evacuated places, sorted by name.
func (t *Tree) EvacuatedPlaces() []string {
	var names []string
	for name, p := range t.places {
		if p.evacuated {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// evacuatesEverything reports whether every place, or every place that has backend servers, is evacuated.
func (t *Tree) evacuatesEverything() bool {
	evacuated := len(t.EvacuatedPlaces())
	if evacuated == 0 {
		return false
	}
	inUse := func(s BackendServer) bool { return !s.Evacuated }
	return evacuated == len(t.places) || len(t.BackendServers) > 0 && !slices.ContainsFunc(t.BackendServers, inUse)
}

// readFullEvacuation reports an evacuation of every place that the document does not allow. While some places have
// documents of their own, only Compose knows all places.
func (p *parser) readFullEvacuation(root *inspector.Table) {
	p.tree.AllowFullEvacuation, _ = root.Boolean(fullEvacuationKey)
	if !p.tree.AllowFullEvacuation && len(p.tree.DelegatedPlaces) == 0 && p.tree.evacuatesEverything() {
		root.AddProblem("places", fullEvacuationCause, fullEvacuationRemedy)
	}
}

// rejectFullEvacuation leaves out the evacuations if together they affect every place, which the root does not allow. It
// does nothing unless the documents of all places are given: a daemon does not follow the places of other regions, which
// may be in use.
func (c *composer) rejectFullEvacuation(allGiven bool) {
	if !allGiven || c.tree.AllowFullEvacuation || !c.tree.evacuatesEverything() {
		return
	}
	c.reportConflict(RootDocumentName, fullEvacuationCause+"; no evacuation is in force", fullEvacuationRemedy)
	for name, node := range c.tree.places {
		node.evacuated = false
		c.tree.places[name] = node
	}
	for i := range c.tree.BackendServers {
		c.tree.BackendServers[i].Evacuated = false
	}
}
