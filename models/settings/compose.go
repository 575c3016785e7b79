package settings

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/bluebelldyke/bluebelldyke/modules/inspector"
)

// composer merges place documents into their root.
type composer struct {
	tree             *Tree
	documentNames    []string                      // the root first
	servicePositions map[netip.AddrPort]int32      // indexes in tree.Services, by service address
	entries          map[netip.AddrPort]firstEntry // by address of the backend server
	pool             tunablesPool
	conflicts        []Conflict
}

// firstEntry is the first entry with the address of a backend server. There is one for each backend server, so it holds
// the index of its document instead of the name to save memory.
type firstEntry struct {
	service       string
	documentIndex int32
	treeIndex     int32 // index in Tree.BackendServers, or notInTree
	conflicting   bool  // another document lists the address under another service
}

// notInTree is the index of a backend server that is not in the tree.
const notInTree = -1

func newComposer(root *Tree, documents []*PlaceDocument) *composer {
	count := len(root.BackendServers)
	for _, d := range documents {
		count += len(d.servers)
	}
	tree := *root
	tree.BackendServers = make([]BackendServer, 0, count)
	tree.places = maps.Clone(root.places)
	tree.placeDocuments = make(map[string]Document, len(documents))
	c := &composer{
		tree: &tree, servicePositions: make(map[netip.AddrPort]int32, len(root.Services)),
		entries: make(map[netip.AddrPort]firstEntry, count), pool: tunablesPool{},
	}
	for i, s := range root.Services {
		c.servicePositions[s.Address] = int32(i)
	}
	c.recordAddresses(RootDocumentName, root.BackendServers)
	return c
}

func (c *composer) isDeclared(service string) bool {
	_, found := slices.BinarySearchFunc(c.tree.Services, service, func(s Service, name string) int {
		return strings.Compare(s.Name, name)
	})
	return found
}

func (c *composer) reportConflict(document, cause, remedy string) {
	c.conflicts = append(c.conflicts, Conflict{document, cause, remedy})
}

// recordAddresses records the first document that lists each address and reports addresses that another document lists
// too. It includes services that the root does not declare, because the VM may already run them.
func (c *composer) recordAddresses(document string, servers []BackendServer) {
	c.documentNames = append(c.documentNames, document)
	for _, s := range servers {
		first, taken := c.entries[s.Address]
		switch {
		case !taken:
			c.entries[s.Address] = firstEntry{service: s.Service, documentIndex: int32(len(c.documentNames) - 1), treeIndex: notInTree}
		case first.service != s.Service:
			if !first.conflicting {
				c.reportConflict(document, fmt.Sprintf("backend server %s is listed under service %q here and under %q in %s; it is left out under both",
					s.Address, s.Service, first.service, c.documentNames[first.documentIndex]), "list it under one of them")
			}
			first.conflicting = true
			c.entries[s.Address] = first
		default:
			c.reportConflict(document, fmt.Sprintf("backend server %s of service %q is also listed in %s, whose entry is used", s.Address,
				s.Service, c.documentNames[first.documentIndex]), "list it in one place")
		}
	}
}

// addServer adds a backend server to the tree, unless documents list it under different services. If the tree has it
// already, it is leaving or evacuated when any document says so.
func (c *composer) addServer(s *BackendServer) {
	first := c.entries[s.Address]
	switch {
	case first.conflicting:
	case first.treeIndex != notInTree:
		existing := &c.tree.BackendServers[first.treeIndex]
		existing.Leaving = existing.Leaving || s.Leaving
		existing.Evacuated = existing.Evacuated || s.Evacuated
	default:
		first.treeIndex = int32(len(c.tree.BackendServers))
		c.entries[s.Address] = first
		c.tree.BackendServers = append(c.tree.BackendServers, *s)
	}
}

// addPlaceDocument adds a place document to the tree.
func (c *composer) addPlaceDocument(d *PlaceDocument) {
	c.tree.placeDocuments[d.Place] = d.Document
	c.tree.places[d.Place] = c.withDeclaredServices(d)
	inherited := apply(Defaults(), c.tree.defaults, d.node.overrides)
	type groupKey struct{ service, group string }
	var current groupKey // the backend servers of a group are adjacent
	var groupTunables *Tunables
	for _, s := range d.servers {
		node, declared := c.tree.places[d.Place].serviceNodes[s.Service]
		if !declared {
			continue
		}
		if service, taken := c.servicePositions[s.Address]; taken {
			c.reportConflict(d.Name, fmt.Sprintf("backend server %s has the address of service %q; it is left out", s.Address,
				c.tree.Services[service].Name), "give each its own address")
			continue
		}
		if next := (groupKey{s.Service, s.Group}); next != current {
			current, groupTunables = next, c.pool.intern(c.limitHealthTimeout(d, s, apply(inherited, node.overrides, node.groups[s.Group])))
		}
		s.Tunables = groupTunables
		c.addServer(&s)
	}
}

// limitHealthTimeout returns the tunables of a group with the health check timeout limited to the interval, which may be
// set in another document.
func (c *composer) limitHealthTimeout(d *PlaceDocument, s BackendServer, t Tunables) Tunables {
	if t.HealthTimeout > t.HealthInterval {
		path := inspector.Join(inspector.Join(inspector.Join("places", d.Place)+".services", s.Service)+".groups", s.Group)
		c.reportConflict(d.Name, fmt.Sprintf("%s: health-timeout %s exceeds health-interval %s, which is used for both", path, t.HealthTimeout,
			t.HealthInterval), "lower health-timeout or raise health-interval, here or in the defaults of "+RootDocumentName)
		t.HealthTimeout = t.HealthInterval
	}
	return t
}

// withDeclaredServices returns the node of a place document without the services that the root does not declare, and
// reports those.
func (c *composer) withDeclaredServices(d *PlaceDocument) placeNode {
	node := placeNode{overrides: d.node.overrides, evacuated: d.node.evacuated, serviceNodes: make(map[string]serviceNode, len(d.node.serviceNodes))}
	for name, s := range d.node.serviceNodes {
		if !c.isDeclared(name) {
			c.reportConflict(d.Name, fmt.Sprintf("service %q is not declared in %s; it is left out", name, RootDocumentName),
				fmt.Sprintf("add [%s] there or correct the name", inspector.Join("services", name)))
			continue
		}
		node.serviceNodes[name] = s
	}
	return node
}
