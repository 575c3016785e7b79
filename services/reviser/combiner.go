package reviser

import (
	"maps"
	"slices"

	"github.com/bluebelldyke/bluebelldyke/models/fleet"
	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/models/view"
)

// Combiner decides which combination of documents is in force. Its inputs are the contents that a Reviser has applied. It
// is not safe for concurrent use.
type Combiner struct {
	availabilityZone string
	newestRoot       *settings.Tree
	rootInForce      *settings.Tree // newest root for which all documents were held
	placeDocuments   map[string]*settings.PlaceDocument
	rootVMList       *fleet.List
	placeVMLists     map[string]*fleet.List
	// reportedConflicts holds the conflicts of the last view, so that View returns each conflict once.
	reportedConflicts map[settings.Conflict]bool
}

// NewCombiner returns a Combiner for a daemon in the availability zone.
func NewCombiner(availabilityZone string) *Combiner {
	return &Combiner{
		availabilityZone: availabilityZone, placeDocuments: map[string]*settings.PlaceDocument{}, rootVMList: &fleet.List{},
		placeVMLists: map[string]*fleet.List{},
	}
}

// SetRoot sets a new revision of the root settings document.
func (c *Combiner) SetRoot(t *settings.Tree) {
	c.newestRoot = t
	c.updateRootInForce()
}

// SetPlaceDocument sets a new revision of a place document.
func (c *Combiner) SetPlaceDocument(d *settings.PlaceDocument) {
	c.placeDocuments[d.Place] = d
	c.updateRootInForce()
}

// SetRootVMList sets a new revision of the root VM list.
func (c *Combiner) SetRootVMList(l *fleet.List) { c.rootVMList = l }

// SetPlaceVMList sets a new revision of the VM list of a place.
func (c *Combiner) SetPlaceVMList(place string, l *fleet.List) { c.placeVMLists[place] = l }

// updateRootInForce puts the newest root in force if all documents that it needs are held, and drops the documents that
// neither root needs any more.
func (c *Combiner) updateRootInForce() {
	if len(c.MissingDocuments()) == 0 {
		c.rootInForce = c.newestRoot
	}
	followed := c.FollowedPlaces()
	unneeded := func(place string) bool { return !slices.Contains(followed, place) }
	maps.DeleteFunc(c.placeDocuments, func(place string, _ *settings.PlaceDocument) bool { return unneeded(place) })
	maps.DeleteFunc(c.placeVMLists, func(place string, _ *fleet.List) bool { return unneeded(place) })
}

// FollowedPlaces returns the sorted places whose documents the newest root or the root in force needs.
func (c *Combiner) FollowedPlaces() []string {
	var places []string
	for _, t := range []*settings.Tree{c.newestRoot, c.rootInForce} {
		if t != nil {
			places = append(places, t.FollowedPlaces(c.availabilityZone)...)
		}
	}
	slices.Sort(places)
	return slices.Compact(places)
}

// MissingDocuments returns the names of the place documents that the newest root needs and that are not held.
func (c *Combiner) MissingDocuments() []string {
	if c.newestRoot == nil {
		return nil
	}
	var names []string
	for _, place := range c.newestRoot.FollowedPlaces(c.availabilityZone) {
		if c.placeDocuments[place] == nil {
			names = append(names, settings.PlaceDocumentName(place))
		}
	}
	return names
}

// DocumentsInForce returns the settings documents in force, the root first, or nil if no root is in force yet.
func (c *Combiner) DocumentsInForce() []settings.Document {
	if c.rootInForce == nil {
		return nil
	}
	list := []settings.Document{{Name: settings.RootDocumentName, ID: settings.RootDocumentID, Revision: c.rootInForce.Revision}}
	for _, d := range c.placeDocumentsInForce() {
		list = append(list, d.Document)
	}
	return list
}

func (c *Combiner) placeDocumentsInForce() []*settings.PlaceDocument {
	var list []*settings.PlaceDocument
	for _, place := range c.rootInForce.FollowedPlaces(c.availabilityZone) {
		list = append(list, c.placeDocuments[place])
	}
	return list
}

// View returns the view of the documents in force, or nil if no root is in force yet, and the conflicts between the
// documents that the previous view did not have.
func (c *Combiner) View() (*view.View, []settings.Conflict) {
	if c.rootInForce == nil {
		return nil, nil
	}
	tree, conflicts := settings.Compose(c.rootInForce, c.placeDocumentsInForce())
	var lists []*fleet.List
	for _, place := range slices.Sorted(maps.Keys(c.placeVMLists)) {
		lists = append(lists, c.placeVMLists[place])
	}
	current := make(map[settings.Conflict]bool, len(conflicts))
	var newConflicts []settings.Conflict
	for _, conflict := range conflicts {
		if !c.reportedConflicts[conflict] && !current[conflict] {
			newConflicts = append(newConflicts, conflict)
		}
		current[conflict] = true
	}
	c.reportedConflicts = current
	return view.New(tree, fleet.Merge(c.rootVMList, lists)), newConflicts
}
