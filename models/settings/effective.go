package settings

import (
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/modules/inspector"
)

// OriginBuiltIn is the origin of a value that no level of the document sets.
const OriginBuiltIn = "built-in"

// Value is the effective value of one tunable at one node of the tree.
type Value struct {
	Key   string
	Value string
	// Origin is the key path of the level that sets the value, followed by the name of its place document in
	// parentheses, or OriginBuiltIn.
	Origin string
}

// ErrUnknownNode is returned for a node that the tree does not have.
var ErrUnknownNode = eris.New("the settings tree has no such node: name a place, service and group that it declares")

// IsErrUnknownNode reports whether err is an ErrUnknownNode.
func IsErrUnknownNode(err error) bool { return eris.Is(err, ErrUnknownNode) }

// level is one level on the path from the root to a node.
type level struct {
	origin    string
	overrides overrides
}

// EffectiveValues returns every tunable at the node and the level that sets it. An empty group selects the service, an
// empty service the place, and an empty place the root.
func (t *Tree) EffectiveValues(place, service, group string) ([]Value, error) {
	levels, err := t.levels(place, service, group)
	if err != nil {
		return nil, err
	}
	effective := Defaults()
	for _, l := range levels {
		effective = apply(effective, l.overrides)
	}
	values := make([]Value, len(tunables))
	for i, d := range tunables {
		values[i] = Value{Key: d.key, Value: d.format(&effective), Origin: originOf(d.key, levels)}
	}
	return values, nil
}

// TunablesAt returns the tunables in force at the node; the arguments are those of EffectiveValues.
func (t *Tree) TunablesAt(place, service, group string) (Tunables, error) {
	// The view calls this for every service of every place, so this common case builds no list of levels and origins.
	if s, ok := t.places[place].serviceNodes[service]; ok && group == "" {
		return apply(Defaults(), t.defaults, t.places[place].overrides, s.overrides), nil
	}
	levels, err := t.levels(place, service, group)
	if err != nil {
		return Tunables{}, err
	}
	effective := Defaults()
	for _, l := range levels {
		effective = apply(effective, l.overrides)
	}
	return effective, nil
}

func originOf(key string, levels []level) string {
	for i := len(levels) - 1; i >= 0; i-- {
		if _, ok := levels[i].overrides[key]; ok {
			return levels[i].origin
		}
	}
	return OriginBuiltIn
}

func (t *Tree) levels(place, service, group string) ([]level, error) {
	levels := []level{{"defaults", t.defaults}}
	if place == "" {
		if service != "" || group != "" {
			return nil, eris.Wrap(ErrUnknownNode, "a service or group without a place")
		}
		return levels, nil
	}
	p, ok := t.places[place]
	if !ok {
		return nil, eris.Wrap(ErrUnknownNode, fmt.Sprintf("place %q", place))
	}
	path := inspector.Join("places", place)
	suffix := ""
	if d, ok := t.placeDocuments[place]; ok {
		suffix = " (" + d.Name + ")"
	}
	levels = append(levels, level{path + suffix, p.overrides})
	if service == "" {
		if group != "" {
			return nil, eris.Wrap(ErrUnknownNode, "a group without a service")
		}
		return levels, nil
	}
	s, ok := p.serviceNodes[service]
	if !ok {
		return nil, eris.Wrap(ErrUnknownNode, fmt.Sprintf("service %q in place %q", service, place))
	}
	path = inspector.Join(path+".services", service)
	levels = append(levels, level{path + suffix, s.overrides})
	if group == "" {
		return levels, nil
	}
	g, ok := s.groups[group]
	if !ok {
		return nil, eris.Wrap(ErrUnknownNode, fmt.Sprintf("group %q of service %q in place %q", group, service, place))
	}
	return append(levels, level{inspector.Join(path+".groups", group) + suffix, g}), nil
}

// PlacesOf returns the places that run the service, sorted by name.
func (t *Tree) PlacesOf(service string) []string {
	var names []string
	for name, p := range t.places {
		if _, ok := p.serviceNodes[service]; ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ServiceTunables returns the tunables of a service independently of the place: the common value of a key on which all
// places that run the service agree, and the root's value for every other key.
func (t *Tree) ServiceTunables(service string) Tunables {
	root := apply(Defaults(), t.defaults)
	common := root
	for i, name := range t.PlacesOf(service) {
		p := t.places[name]
		placeTunables := apply(root, p.overrides, p.serviceNodes[service].overrides)
		if i == 0 {
			common = placeTunables
			continue
		}
		for _, d := range tunables {
			if d.format(&common) != d.format(&placeTunables) {
				d.copy(&common, &root)
			}
		}
	}
	return common
}
