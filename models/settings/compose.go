package settings

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/bluebelldyke/bluebelldyke/modules/inspector"
)

// composer joins place documents with their root.
type composer struct {
	tree      *Tree
	names     []string                   // of the documents, the root first
	addresses map[netip.AddrPort]int32   // positions of services, by their address
	claims    map[netip.AddrPort]claimed // addresses of backend servers
	tunables  pool
	findings  []Conflict
}

// claimed is the first document that lists the address of a backend server. There is one for each backend server, so
// that it names the document by its position.
type claimed struct {
	service   string
	document  int32
	at        int32 // position in the tree, or notKept
	contested bool  // another document lists the address under another service
}

const notKept = -1

func newComposer(root *Tree, documents []*PlaceDocument) *composer {
	count := len(root.BackendServers)
	for _, d := range documents {
		count += len(d.servers)
	}
	tree := *root
	tree.BackendServers = make([]BackendServer, 0, count)
	tree.places = maps.Clone(root.places)
	tree.delegated = make(map[string]Document, len(documents))
	c := &composer{
		tree: &tree, addresses: make(map[netip.AddrPort]int32, len(root.Services)),
		claims: make(map[netip.AddrPort]claimed, count), tunables: pool{},
	}
	for i, s := range root.Services {
		c.addresses[s.Address] = int32(i)
	}
	c.claim(RootDocumentName, root.BackendServers)
	return c
}

func (c *composer) isDeclared(service string) bool {
	_, found := slices.BinarySearchFunc(c.tree.Services, service, func(s Service, name string) int {
		return strings.Compare(s.Name, name)
	})
	return found
}

func (c *composer) find(document, cause, remedy string) {
	c.findings = append(c.findings, Conflict{document, cause, remedy})
}

// claim notes who lists each address. A service that is not declared counts too: the VM may already run it.
func (c *composer) claim(document string, servers []BackendServer) {
	c.names = append(c.names, document)
	for _, s := range servers {
		first, taken := c.claims[s.Address]
		switch {
		case !taken:
			c.claims[s.Address] = claimed{service: s.Service, document: int32(len(c.names) - 1), at: notKept}
		case first.service != s.Service:
			if !first.contested {
				c.find(document, fmt.Sprintf("backend server %s stands under service %q here and under %q in %s; it is left out under both",
					s.Address, s.Service, first.service, c.names[first.document]), "leave it under one of them")
			}
			first.contested = true
			c.claims[s.Address] = first
		default:
			c.find(document, fmt.Sprintf("backend server %s of service %q also stands in %s, whose entry is used", s.Address,
				s.Service, c.names[first.document]), "list it in one place")
		}
	}
}

// keep adds a backend server unless another document contradicts it.
func (c *composer) keep(s *BackendServer) {
	first := c.claims[s.Address]
	switch {
	case first.contested:
	case first.at != notKept:
		kept := &c.tree.BackendServers[first.at]
		kept.Leaving = kept.Leaving || s.Leaving
	default:
		first.at = int32(len(c.tree.BackendServers))
		c.claims[s.Address] = first
		c.tree.BackendServers = append(c.tree.BackendServers, *s)
	}
}

// add takes over a place document.
func (c *composer) add(d *PlaceDocument) {
	c.tree.delegated[d.Place] = d.Document
	c.tree.places[d.Place] = c.declared(d)
	inherited := apply(Defaults(), c.tree.defaults, d.content.overrides)
	type node struct{ service, group string }
	var at node // backend servers of a group stand beside each other
	var known *Tunables
	for _, s := range d.servers {
		level, declared := c.tree.places[d.Place].services[s.Service]
		if !declared {
			continue
		}
		if service, taken := c.addresses[s.Address]; taken {
			c.find(d.Name, fmt.Sprintf("backend server %s has the address of service %q; it is left out", s.Address,
				c.tree.Services[service].Name), "give each its own address")
			continue
		}
		if next := (node{s.Service, s.Group}); next != at {
			at, known = next, c.tunables.share(c.settle(d, s, apply(inherited, level.overrides, level.groups[s.Group])))
		}
		s.Tunables = known
		c.keep(&s)
	}
}

// settle returns the tunables of a group with a health time-out within the interval, which may stand in another document.
func (c *composer) settle(d *PlaceDocument, s BackendServer, t Tunables) Tunables {
	if t.HealthTimeout > t.HealthInterval {
		path := inspector.Join(inspector.Join(inspector.Join("places", d.Place)+".services", s.Service)+".groups", s.Group)
		c.find(d.Name, fmt.Sprintf("%s: health-timeout %s exceeds health-interval %s, which is used for both", path, t.HealthTimeout,
			t.HealthInterval), "lower health-timeout or raise health-interval, here or in the defaults of "+RootDocumentName)
		t.HealthTimeout = t.HealthInterval
	}
	return t
}

// declared returns the content of a place document without services that the root does not declare.
func (c *composer) declared(d *PlaceDocument) place {
	content := place{overrides: d.content.overrides, services: make(map[string]service, len(d.content.services))}
	for name, s := range d.content.services {
		if !c.isDeclared(name) {
			c.find(d.Name, fmt.Sprintf("service %q is not declared in %s; it is left out", name, RootDocumentName),
				fmt.Sprintf("add [%s] there or correct the name", inspector.Join("services", name)))
			continue
		}
		content.services[name] = s
	}
	return content
}
