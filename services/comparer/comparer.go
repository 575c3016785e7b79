// Package comparer compares a settings tree with the one in force before it is published: what differs, which entries can never
// match, and which limits contradict each other. It uses no files, sockets or clock.
package comparer

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/modules/sealer"
)

// Kind is the kind of a Finding.
type Kind string

// The kinds of findings.
const (
	Difference    Kind = "difference"    // between the two trees
	NeverMatches  Kind = "never-matches" // an entry of the new tree that has no effect
	Contradiction Kind = "contradiction" // values of the new tree, or a change, that defeat each other
)

// Finding is one line of the result. Remedy is empty for a difference.
type Finding struct {
	Kind                Kind
	Path, Cause, Remedy string
}

// String returns the finding as one line.
func (f Finding) String() string {
	text := string(f.Kind) + ": " + f.Path + ": " + f.Cause
	if f.Remedy != "" {
		text += ": " + f.Remedy
	}
	return text
}

// Compare returns the findings about a tree, compared with the tree in force: contradictions first, then entries that never
// match, then differences, each sorted by path.
func Compare(inForce, next *settings.Tree) []Finding {
	c := &comparison{inForce: inForce, next: next}
	c.compareServices()
	c.compareServers()
	c.compareTunables()
	c.compareKeys()
	c.comparePlaces()
	c.compareCallerGroups()
	c.checkLimits()
	order := []Kind{Contradiction, NeverMatches, Difference}
	slices.SortFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(slices.Index(order, a.Kind), slices.Index(order, b.Kind)), strings.Compare(a.String(), b.String()))
	})
	return slices.Compact(c.findings)
}

type comparison struct {
	inForce, next *settings.Tree
	findings      []Finding
}

func (c *comparison) add(k Kind, path, remedy, format string, args ...any) {
	c.findings = append(c.findings, Finding{Kind: k, Path: path, Cause: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (c *comparison) differs(path, format string, args ...any) {
	c.add(Difference, path, "", format, args...)
}

func (c *comparison) compareServices() {
	old := indexBy(c.inForce.Services, func(s settings.Service) string { return s.Name })
	for _, s := range c.next.Services {
		path := "services." + s.Name
		switch before, known := old[s.Name]; {
		case !known:
			c.differs(path, "added with address %s", s.Address)
		case before.Address != s.Address:
			c.differs(path, "address changed from %s to %s", before.Address, s.Address)
		}
		delete(old, s.Name)
		takesWork := func(b settings.BackendServer) bool { return b.Service == s.Name && b.TakesNewWork() }
		if len(c.next.DelegatedPlaces) == len(c.next.Documents())-1 && !slices.ContainsFunc(c.next.BackendServers, takesWork) {
			c.add(NeverMatches, path, "add a backend server or remove the service",
				"no backend server takes new work, so that all requests and feeds are rejected")
		}
	}
	for name := range old {
		c.differs("services."+name, "removed")
	}
}

func (c *comparison) compareServers() {
	old := indexBy(c.inForce.BackendServers, func(b settings.BackendServer) netip.AddrPort { return b.Address })
	for _, b := range c.next.BackendServers {
		before, known := old[b.Address]
		delete(old, b.Address)
		switch path := serverPath(b); {
		case !known:
			c.differs(path, "added")
		case before.Service != b.Service:
			c.add(Contradiction, path, "drain and remove it first, add it to the other service in a later change",
				"moves from service %s to %s while it may hold work", before.Service, b.Service)
		case before.AvailabilityZone != b.AvailabilityZone || before.Group != b.Group:
			c.differs(path, "moved from %s", serverPath(before))
		case before.Leaving != b.Leaving:
			c.differs(path, "state changed from %s to %s", state(before), state(b))
		}
	}
	for _, b := range old {
		if b.Leaving {
			c.differs(serverPath(b), "removed")
			continue
		}
		c.add(Contradiction, serverPath(b), `set state = "leaving" and wait until it is empty`, "removed without draining: its feeds break")
	}
}

// compareTunables compares the values in force at the root and at each service of a place, and those of groups.
func (c *comparison) compareTunables() {
	type node struct{ place, service, group string }
	nodes := []node{{}}
	for _, s := range c.next.Services {
		for _, place := range c.next.PlacesOf(s.Name) {
			nodes = append(nodes, node{place, s.Name, ""})
		}
	}
	for _, b := range c.next.BackendServers {
		nodes = append(nodes, node{b.AvailabilityZone, b.Service, b.Group})
	}
	slices.SortFunc(nodes, func(a, b node) int {
		return cmp.Or(strings.Compare(a.place, b.place), strings.Compare(a.service, b.service), strings.Compare(a.group, b.group))
	})
	for _, n := range slices.Compact(nodes) {
		before, err := c.inForce.EffectiveValues(n.place, n.service, n.group)
		after, nextErr := c.next.EffectiveValues(n.place, n.service, n.group)
		if err != nil || nextErr != nil {
			continue // the node is new, which the difference of its backend servers shows
		}
		path := "defaults"
		if n.place != "" {
			path = strings.TrimSuffix("places."+n.place+".services."+n.service+".groups."+n.group, ".groups.")
		}
		for i, v := range after {
			if v.Value != before[i].Value {
				c.differs(path+"."+v.Key, "changed from %s to %s", before[i].Value, v.Value)
			}
		}
	}
}

func (c *comparison) compareKeys() {
	known := indexBy(c.inForce.TokenKeys, func(k sealer.Key) uint8 { return k.ID })
	if c.next.SealingKeyID != c.inForce.SealingKeyID {
		c.differs("seal-with", "changed from %d to %d", c.inForce.SealingKeyID, c.next.SealingKeyID)
		if _, ok := known[c.next.SealingKeyID]; !ok {
			c.add(Contradiction, "seal-with", "publish the key first, and seal with it in a later change",
				"key %d is new: daemons that have the change later drop its tokens", c.next.SealingKeyID)
		}
	}
	for _, k := range c.next.TokenKeys {
		before, ok := known[k.ID]
		switch {
		case !ok:
			c.differs("token-keys", "key %d added", k.ID)
		case before.Secret != k.Secret:
			c.add(Contradiction, "token-keys", "give the new secret its own id", "the secret of key %d changes: its tokens become invalid", k.ID)
		}
		delete(known, k.ID)
	}
	for id := range known {
		if id == c.inForce.SealingKeyID {
			c.add(Contradiction, "token-keys", "change seal-with first, and remove the key when its flows have ended",
				"key %d is removed while it seals new tokens: flows break", id)
			continue
		}
		c.differs("token-keys", "key %d removed", id)
	}
}

func (c *comparison) comparePlaces() {
	before, after := c.inForce.EvacuatedPlaces(), c.next.EvacuatedPlaces()
	for _, place := range after {
		if !slices.Contains(before, place) {
			c.differs("places."+place, "evacuated")
		}
	}
	for _, place := range before {
		if !slices.Contains(after, place) {
			c.differs("places."+place, "no longer evacuated")
		}
	}
}

func (c *comparison) compareCallerGroups() {
	old := map[netip.Prefix]string{}
	for _, g := range c.inForce.CallerGroups {
		for _, p := range g.Prefixes {
			old[p] = g.Name
		}
	}
	all := map[netip.Prefix]bool{}
	for _, g := range c.next.CallerGroups {
		for _, p := range g.Prefixes {
			all[p] = true
			if name, ok := old[p]; !ok {
				c.differs("caller-groups."+g.Name, "prefix %s added", p)
			} else if name != g.Name {
				c.differs("caller-groups."+g.Name, "prefix %s moved from %s", p, name)
			}
			delete(old, p)
		}
	}
	for p, name := range old {
		c.differs("caller-groups."+name, "prefix %s removed", p)
	}
	for _, g := range c.next.CallerGroups {
		for _, p := range g.Prefixes {
			if isCovered(p, all) {
				c.add(NeverMatches, "caller-groups."+g.Name, "remove it", "longer prefixes contain all addresses of %s", p)
			}
		}
	}
}

// isCovered reports whether longer prefixes contain all addresses of a prefix.
func isCovered(p netip.Prefix, all map[netip.Prefix]bool) bool {
	longer := func(other netip.Prefix) bool { return other.Bits() > p.Bits() && p.Contains(other.Addr()) }
	uncovered := []netip.Prefix{p}
	for len(uncovered) > 0 {
		q := uncovered[len(uncovered)-1]
		uncovered = uncovered[:len(uncovered)-1]
		if q != p && all[q] {
			continue
		}
		// Without a listed prefix inside q, its addresses are not covered. Otherwise each half of q is examined.
		inside := false
		for other := range all {
			inside = inside || longer(other) && other.Bits() > q.Bits() && q.Contains(other.Addr())
		}
		if !inside {
			return false
		}
		low, high := halves(q)
		uncovered = append(uncovered, low, high)
	}
	return true
}

// halves returns the two prefixes that are one bit longer.
func halves(p netip.Prefix) (low, high netip.Prefix) {
	b := p.Addr().AsSlice()
	b[p.Bits()/8] |= 0x80 >> (p.Bits() % 8)
	addr, _ := netip.AddrFromSlice(b)
	return netip.PrefixFrom(p.Addr(), p.Bits()+1), netip.PrefixFrom(addr, p.Bits()+1)
}

// checkLimits reports values of the new tree that defeat each other.
func (c *comparison) checkLimits() {
	for _, s := range c.next.Services {
		for _, place := range c.next.PlacesOf(s.Name) {
			t, err := c.next.TunablesAt(place, s.Name, "")
			if err != nil {
				continue
			}
			path := "places." + place + ".services." + s.Name
			if t.TargetLatency > t.RequestTimeout {
				c.add(Contradiction, path, "lower target-latency or raise request-timeout",
					"target-latency %s exceeds request-timeout %s", t.TargetLatency, t.RequestTimeout)
			}
			if t.Priority > 0 && t.TargetLatency == 0 {
				c.add(NeverMatches, path, "set target-latency", "priority %d has no effect without target-latency", t.Priority)
			}
		}
	}
}

func serverPath(b settings.BackendServer) string {
	return fmt.Sprintf("places.%s.services.%s.groups.%s: %s (%s)", b.AvailabilityZone, b.Service, b.Group, b.Name, b.Address)
}

func state(b settings.BackendServer) string {
	if b.Leaving {
		return "leaving"
	}
	return "live"
}

func indexBy[T any, K comparable](list []T, key func(T) K) map[K]T {
	m := make(map[K]T, len(list))
	for _, v := range list {
		m[key(v)] = v
	}
	return m
}
