package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/bluebelldyke/bluebelldyke/models/fleet"
	"github.com/bluebelldyke/bluebelldyke/modules/inspector"
)

// RootDocument is the name of the document that holds the root of the tree.
const RootDocument = "settings"

// RootID is the id of the root document.
var RootID = DocumentID(RootDocument)

// DocumentOf returns the name of the document that defines a place when the root delegates it.
func DocumentOf(place string) string { return RootDocument + "-" + place }

// DocumentID returns the id of a document in tokens and heartbeats: the low 32 bits of the 64-bit FNV-1a hash of its
// name.
func DocumentID(name string) uint32 { return uint32(ServiceID(name)) }

// Document is one document that a tree is made of.
type Document struct {
	Name     string
	ID       uint32
	Revision uint64
}

// PlaceDocument is one valid revision of the document of a place. It is not changed after ParsePlace.
type PlaceDocument struct {
	Document
	Place string

	content place
	servers []BackendServer // without tunables, which Compose inherits
}

// ParsePlace reads the TOML content of the named file as revision of the document of a place. An empty place takes the
// only place that the file has. The error is an inspector.ErrInvalid that lists all problems found.
func ParsePlace(file, place string, revision uint64, content []byte) (*PlaceDocument, error) {
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
			places.AddProblem(name, "a place document defines one place alone", "move the place to "+DocumentOf(name)+" or to "+RootDocument)
		}
	}
	if len(names) > 0 && !slices.Contains(names, place) {
		places.AddProblem(place, "missing", "write the place as "+inspector.Join("places", place))
	}
	p := newParser(ServiceID)
	p.alone = true
	p.readPlaces(places)
	root.RejectUnknownKeys()
	if err := report.Err(); err != nil {
		return nil, err
	}
	name := DocumentOf(place)
	return &PlaceDocument{
		Document: Document{Name: name, ID: DocumentID(name), Revision: revision}, Place: place,
		content: p.tree.places[place], servers: p.tree.BackendServers,
	}, nil
}

// inherited returns the tunables that a place inherits. A place document does not know the defaults of the root; it
// starts from a health time-out and interval that no value of its own contradicts, and Compose settles the rest.
func (p *parser) inherited() Tunables {
	t := apply(Defaults(), p.tree.defaults)
	if p.alone {
		t.HealthInterval, t.HealthTimeout = maxHealthInterval, 0
	}
	return t
}

func (p *parser) readPlaceDocuments(root *inspector.Table) {
	const key = "place-documents"
	p.tree.PlaceDocuments, _ = root.Texts(key)
	slices.Sort(p.tree.PlaceDocuments)
	ids := map[uint32]string{RootID: RootDocument, DocumentID(fleet.DocumentName): fleet.DocumentName}
	for i, name := range p.tree.PlaceDocuments {
		switch {
		case i > 0 && p.tree.PlaceDocuments[i-1] == name:
			root.AddProblem(key, fmt.Sprintf("place %q is listed twice", name), "list each place once")
			continue
		case len(name) > maxNameBytes || !namePattern.MatchString(name):
			root.AddProblem(key, fmt.Sprintf("invalid name %q", name), "name a place")
		case p.regionOf[name] == "" && len(p.tree.Regions) > 0:
			root.AddProblem(key, fmt.Sprintf("no region lists place %q", name), "add it to the key places of a region")
		}
		for _, document := range []string{DocumentOf(name), fleet.DocumentOf(name)} {
			id := DocumentID(document)
			if other, taken := ids[id]; taken {
				root.AddProblem(key, fmt.Sprintf("document id %08x of %s is also that of document %q", id, document, other), "rename the place "+name)
			}
			ids[id] = document
		}
	}
}

// Finding is a conflict between documents that are valid alone, and what Compose did about it.
type Finding struct{ Document, Cause, Remedy string }

// String returns the finding as one line.
func (f Finding) String() string { return f.Document + ": " + f.Cause + ": " + f.Remedy }

// Follows returns the places that a daemon in the availability zone follows of those that documents of their own
// define: the places of its region, or its own place alone when no region lists it.
func (t *Tree) Follows(availabilityZone string) []string {
	near := []string{availabilityZone}
	for _, r := range t.Regions {
		if slices.Contains(r.Places, availabilityZone) {
			near = r.Places
		}
	}
	return slices.DeleteFunc(slices.Clone(t.PlaceDocuments), func(p string) bool { return !slices.Contains(near, p) })
}

// DocumentAt returns the document that defines a place.
func (t *Tree) DocumentAt(place string) Document {
	if d, ok := t.delegated[place]; ok {
		return d
	}
	return Document{Name: RootDocument, ID: RootID, Revision: t.Revision}
}

// Documents returns the documents that the tree is made of: the root first, then the place documents by name.
func (t *Tree) Documents() []Document {
	list := []Document{{Name: RootDocument, ID: RootID, Revision: t.Revision}}
	for _, place := range slices.Sorted(maps.Keys(t.delegated)) {
		list = append(list, t.delegated[place])
	}
	return list
}

// Compose returns the tree of a root and of the place documents that it names; others are left aside. The result depends
// only on the contents given, not on their order. Rules that span documents leave out what contradicts them, so that a
// document that is valid alone never keeps another from being in force.
func Compose(root *Tree, documents []*PlaceDocument) (*Tree, []Finding) {
	named := slices.DeleteFunc(slices.Clone(documents), func(d *PlaceDocument) bool {
		return !slices.Contains(root.PlaceDocuments, d.Place)
	})
	if len(named) == 0 {
		return root, nil
	}
	slices.SortFunc(named, func(a, b *PlaceDocument) int { return strings.Compare(a.Place, b.Place) })
	c := newComposer(root, named)
	for _, d := range named {
		c.claim(d.Name, d.servers)
	}
	for _, s := range root.BackendServers {
		c.keep(&s)
	}
	for _, d := range named {
		c.add(d)
	}
	slices.SortFunc(c.findings, func(a, b Finding) int { return strings.Compare(a.String(), b.String()) })
	return c.tree, c.findings
}
