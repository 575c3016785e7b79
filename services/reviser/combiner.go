package reviser

import (
	"maps"
	"slices"

	"github.com/bluebelldyke/bluebelldyke/models/fleet"
	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/models/view"
)

// Combiner decides which combination of documents is in force. It takes contents that a Reviser has applied. It is not
// safe for concurrent use.
type Combiner struct {
	zone   string
	newest *settings.Tree // root held
	root   *settings.Tree // root in force: the newest one that was complete
	places map[string]*settings.PlaceDocument
	vms    *fleet.List
	lists  map[string]*fleet.List // by place
	// reported holds the findings of the last view.
	reported map[settings.Conflict]bool
}

// NewCombiner returns a Combiner of a daemon in the availability zone.
func NewCombiner(availabilityZone string) *Combiner {
	return &Combiner{
		zone: availabilityZone, places: map[string]*settings.PlaceDocument{}, vms: &fleet.List{}, lists: map[string]*fleet.List{},
	}
}

// SetRoot takes a new revision of the root of the tree.
func (c *Combiner) SetRoot(t *settings.Tree) {
	c.newest = t
	c.advance()
}

// SetPlace takes a new revision of a place document.
func (c *Combiner) SetPlace(d *settings.PlaceDocument) {
	c.places[d.Place] = d
	c.advance()
}

// SetVMs takes a new revision of the root VM list.
func (c *Combiner) SetVMs(l *fleet.List) { c.vms = l }

// SetPlaceVMs takes a new revision of the VM list of a place.
func (c *Combiner) SetPlaceVMs(place string, l *fleet.List) { c.lists[place] = l }

// advance puts the newest root in force when all that it needs is held, and drops what no root needs.
func (c *Combiner) advance() {
	if len(c.Missing()) == 0 {
		c.root = c.newest
	}
	needed := c.Places()
	unneeded := func(place string) bool { return !slices.Contains(needed, place) }
	maps.DeleteFunc(c.places, func(place string, _ *settings.PlaceDocument) bool { return unneeded(place) })
	maps.DeleteFunc(c.lists, func(place string, _ *fleet.List) bool { return unneeded(place) })
}

// Places returns the places whose documents are followed, in order: those that the newest root or the one in force needs.
func (c *Combiner) Places() []string {
	var places []string
	for _, t := range []*settings.Tree{c.newest, c.root} {
		if t != nil {
			places = append(places, t.FollowedPlaces(c.zone)...)
		}
	}
	slices.Sort(places)
	return slices.Compact(places)
}

// Missing returns the names of the documents without which the newest root is not complete.
func (c *Combiner) Missing() []string {
	if c.newest == nil {
		return nil
	}
	var names []string
	for _, place := range c.newest.FollowedPlaces(c.zone) {
		if c.places[place] == nil {
			names = append(names, settings.PlaceDocumentName(place))
		}
	}
	return names
}

// InForce returns the settings documents in force, the root first; none before there is a complete root.
func (c *Combiner) InForce() []settings.Document {
	if c.root == nil {
		return nil
	}
	list := []settings.Document{{Name: settings.RootDocumentName, ID: settings.RootDocumentID, Revision: c.root.Revision}}
	for _, d := range c.documents() {
		list = append(list, d.Document)
	}
	return list
}

func (c *Combiner) documents() []*settings.PlaceDocument {
	var list []*settings.PlaceDocument
	for _, place := range c.root.FollowedPlaces(c.zone) {
		list = append(list, c.places[place])
	}
	return list
}

// View returns the view of the documents in force, nil before there is a complete root, and the conflicts between the
// documents that the view before did not have.
func (c *Combiner) View() (*view.View, []settings.Conflict) {
	if c.root == nil {
		return nil, nil
	}
	tree, findings := settings.Compose(c.root, c.documents())
	var lists []*fleet.List
	for _, place := range slices.Sorted(maps.Keys(c.lists)) {
		lists = append(lists, c.lists[place])
	}
	current := make(map[settings.Conflict]bool, len(findings))
	var news []settings.Conflict
	for _, f := range findings {
		if !c.reported[f] && !current[f] {
			news = append(news, f)
		}
		current[f] = true
	}
	c.reported = current
	return view.New(tree, fleet.Merge(c.vms, lists)), news
}
