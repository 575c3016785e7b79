package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/bluebelldyke/bluebelldyke/models/fleet"
	"github.com/bluebelldyke/bluebelldyke/modules/inspector"
)

// RootDocumentName is the name of the document that holds the root of the tree.
const RootDocumentName = "settings"

// RootDocumentID is the id of the root document.
var RootDocumentID = DocumentID(RootDocumentName)

// PlaceDocumentName returns the name of the settings document of a place that the root document delegates.
func PlaceDocumentName(place string) string { return RootDocumentName + "-" + place }

// DocumentID returns the id of a document in tokens and heartbeats: the low 32 bits of the 64-bit FNV-1a hash of its
// name.
func DocumentID(name string) uint32 { return uint32(ServiceID(name)) }

// Document identifies one revision of a document that a tree is composed of.
type Document struct {
	Name     string
	ID       uint32
	Revision uint64
}

// PlaceDocument is one valid revision of the document of a place. It is not changed after ParsePlaceDocument.
type PlaceDocument struct {
	Document
	Place string

	node    placeNode
	servers []BackendServer // without tunables, which Compose adds
}

// ParsePlaceDocument parses the TOML content of the named file as the given revision of the document of a place. An empty
// place stands for the only place in the file. The error is an inspector.ErrInvalid that lists all problems found.
func ParsePlaceDocument(file, place string, revision uint64, content []byte) (*PlaceDocument, error) {
	report := inspector.NewReport(file)
	root := inspector.Parse(report, content)
	root.Require("write the place as [places.NAME]", "places")
	places := root.Table("places")
	names := places.Keys()
	if place == "" && len(names) == 1 {
		place = names[0]
	}
	for _, name := range names {
		if name != place {
			places.AddProblem(name, "a place document defines only one place", "move the place to "+PlaceDocumentName(name)+" or to "+RootDocumentName)
		}
	}
	if len(names) > 0 && !slices.Contains(names, place) {
		places.AddProblem(place, "missing", "write the place as "+inspector.Join("places", place))
	}
	p := newParser(ServiceID)
	p.isPlaceDocument = true
	p.readPlaces(places)
	root.RejectUnknownKeys()
	if err := report.Err(); err != nil {
		return nil, err
	}
	name := PlaceDocumentName(place)
	return &PlaceDocument{
		Document: Document{Name: name, ID: DocumentID(name), Revision: revision}, Place: place,
		node: p.tree.places[place], servers: p.tree.BackendServers,
	}, nil
}

// inheritedTunables returns the tunables that a place inherits. A place document does not contain the defaults of the
// root. For its health check it therefore inherits the longest interval and no timeout, so that a timeout and an interval
// that the document sets are compared only with each other. Compose compares them with the defaults of the root.
func (p *parser) inheritedTunables() Tunables {
	t := apply(Defaults(), p.tree.defaults)
	if p.isPlaceDocument {
		t.HealthInterval, t.HealthTimeout = maxHealthInterval, 0
	}
	return t
}

func (p *parser) readDelegatedPlaces(root *inspector.Table) {
	const key = "place-documents"
	p.tree.DelegatedPlaces, _ = root.Texts(key)
	slices.Sort(p.tree.DelegatedPlaces)
	ids := map[uint32]string{RootDocumentID: RootDocumentName, DocumentID(fleet.DocumentName): fleet.DocumentName}
	for i, name := range p.tree.DelegatedPlaces {
		switch {
		case i > 0 && p.tree.DelegatedPlaces[i-1] == name:
			root.AddProblem(key, fmt.Sprintf("place %q is listed twice", name), "list each place once")
			continue
		case len(name) > maxNameBytes || !namePattern.MatchString(name):
			root.AddProblem(key, fmt.Sprintf("invalid name %q", name), "write the name of a place")
		case p.regionOf[name] == "" && len(p.tree.Regions) > 0:
			root.AddProblem(key, fmt.Sprintf("no region lists place %q", name), "add it to the key places of a region")
		}
		for _, document := range []string{PlaceDocumentName(name), fleet.PlaceDocumentName(name)} {
			id := DocumentID(document)
			if other, taken := ids[id]; taken {
				root.AddProblem(key, fmt.Sprintf("document id %08x of %s is also that of document %q", id, document, other), "rename the place "+name)
			}
			ids[id] = document
		}
	}
}

// Conflict is a contradiction between documents that are valid individually, and how Compose resolved it.
type Conflict struct{ Document, Cause, Remedy string }

// String returns the conflict as one line.
func (c Conflict) String() string { return c.Document + ": " + c.Cause + ": " + c.Remedy }

// FollowedPlaces returns the delegated places whose documents a daemon in the availability zone reads: the places of its
// region, or only its own place if no region lists it.
func (t *Tree) FollowedPlaces(availabilityZone string) []string {
	followed := []string{availabilityZone}
	for _, r := range t.Regions {
		if slices.Contains(r.Places, availabilityZone) {
			followed = r.Places
		}
	}
	return slices.DeleteFunc(slices.Clone(t.DelegatedPlaces), func(p string) bool { return !slices.Contains(followed, p) })
}

// DocumentFor returns the document that defines a place.
func (t *Tree) DocumentFor(place string) Document {
	if d, ok := t.placeDocuments[place]; ok {
		return d
	}
	return Document{Name: RootDocumentName, ID: RootDocumentID, Revision: t.Revision}
}

// Documents returns the documents that the tree is composed of: the root first, then the place documents by name.
func (t *Tree) Documents() []Document {
	list := []Document{{Name: RootDocumentName, ID: RootDocumentID, Revision: t.Revision}}
	for _, place := range slices.Sorted(maps.Keys(t.placeDocuments)) {
		list = append(list, t.placeDocuments[place])
	}
	return list
}

// Compose merges a root with the place documents that it delegates to; it ignores other place documents. The result
// depends only on the documents given, not on their order. Entries that conflict between documents are left out and
// reported, so that a document that is valid on its own never keeps another one from taking effect.
func Compose(root *Tree, documents []*PlaceDocument) (*Tree, []Conflict) {
	delegated := slices.DeleteFunc(slices.Clone(documents), func(d *PlaceDocument) bool {
		return !slices.Contains(root.DelegatedPlaces, d.Place)
	})
	if len(delegated) == 0 {
		return root, nil
	}
	slices.SortFunc(delegated, func(a, b *PlaceDocument) int { return strings.Compare(a.Place, b.Place) })
	c := newComposer(root, delegated)
	for _, d := range delegated {
		c.recordAddresses(d.Name, d.servers)
	}
	for _, s := range root.BackendServers {
		c.addServer(&s)
	}
	for _, d := range delegated {
		c.addPlaceDocument(d)
	}
	c.rejectFullEvacuation(len(delegated) == len(root.DelegatedPlaces))
	slices.SortFunc(c.conflicts, func(a, b Conflict) int { return strings.Compare(a.String(), b.String()) })
	return c.tree, c.conflicts
}
