package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/inspector"
	"github.com/bluebelldyke/bluebelldyke/modules/sealer"
)

// maxNameBytes limits the length of names; every backend datagram carries a service name in a TLV.
const maxNameBytes = 63

// maxDelay limits the delays of a region.
const maxDelay = 10 * time.Second

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// Parse parses the TOML content of the named file as the given revision of the root document. The error is an
// inspector.ErrInvalid that lists all problems found.
func Parse(file string, revision uint64, content []byte) (*Tree, error) {
	report := inspector.NewReport(file)
	p := newParser(ServiceID)
	p.readRoot(inspector.Parse(report, content))
	if err := report.Err(); err != nil {
		return nil, err
	}
	p.tree.Revision = revision
	return p.tree, nil
}

// parser builds a tree from the tables of a document and records the names, ids and addresses in use for checks across
// tables.
type parser struct {
	tree                *Tree
	serviceID           func(name string) uint64
	declaredServices    map[string]netip.AddrPort // the address is zero if it is invalid
	serviceByID         map[uint64]string
	regionOf            map[string]string             // by place
	usedAddresses       map[netip.AddrPort]addressUse // of services and backend servers
	usedHealthAddresses map[netip.AddrPort]inspector.Key
	usedServerNames     map[serverName]inspector.Key
	pool                tunablesPool // tunables of backend servers
	isPlaceDocument     bool         // its services are declared, and its defaults set, in the root document
}

// addressUse is the key of the document that uses an address; the service is empty for a service's own address.
type addressUse struct {
	key     inspector.Key
	service string
}

type serverName struct{ service, name string }

func newParser(id func(string) uint64) *parser {
	return &parser{
		tree:                &Tree{places: map[string]placeNode{}},
		serviceID:           id,
		declaredServices:    map[string]netip.AddrPort{},
		serviceByID:         map[uint64]string{},
		regionOf:            map[string]string{},
		usedAddresses:       map[netip.AddrPort]addressUse{},
		usedHealthAddresses: map[netip.AddrPort]inspector.Key{},
		usedServerNames:     map[serverName]inspector.Key{},
		pool:                tunablesPool{},
	}
}

func (p *parser) readRoot(root *inspector.Table) {
	root.Require("declare at least one service, [services.NAME]", "services")
	p.readServices(root.Table("services"))
	p.readRegions(root.Table("regions"))
	p.readDelegatedPlaces(root)
	defaults := root.Table("defaults")
	p.tree.defaults = readOverrides(defaults)
	defaults.RejectUnknownKeys()
	checkHealthTimeout(defaults, p.tree.defaults, Defaults())
	p.readPlaces(root.Table("places"))
	p.readFullEvacuation(root)
	p.readTokenKeys(root)
	p.readCallerGroups(root.Table("caller-groups"))
	root.RejectUnknownKeys()
}

func (p *parser) readServices(t *inspector.Table) {
	for _, name := range t.Keys() {
		checkName(t, name)
		s := t.Table(name)
		s.Require("write the IP address and port that callers use", "address")
		address, ok := s.AddrPort("address")
		s.RejectUnknownKeys()
		p.declaredServices[name] = address
		id := p.serviceID(name)
		if other, taken := p.serviceByID[id]; taken {
			t.AddProblem(name, fmt.Sprintf("service id %016x is also that of service %q", id, other), "rename one of the two services")
		}
		p.serviceByID[id] = name
		if ok {
			p.reserveAddress(s, "address", address, "")
		}
		p.tree.Services = append(p.tree.Services, Service{Name: name, ID: id, Address: address})
	}
}

// reserveAddress records that the key of t uses the address and reports an address that is already in use. The service is
// that of a backend server, or empty for a service's own address.
func (p *parser) reserveAddress(t *inspector.Table, key string, address netip.AddrPort, service string) {
	other, taken := p.usedAddresses[address]
	switch {
	case !taken:
		p.usedAddresses[address] = addressUse{t.Key(key), service}
	case service != "" && other.service != "" && other.service != service:
		t.AddProblem(key, fmt.Sprintf("backend server %s is listed under two services, %q and %q (%s)", address, other.service, service, other.key),
			"list it under one of them; packets of one service must not reach another")
	default:
		t.AddProblem(key, fmt.Sprintf("address %s is already used by %s", address, other.key), "give each its own address")
	}
}

func checkName(t *inspector.Table, name string) {
	if len(name) > maxNameBytes || !namePattern.MatchString(name) {
		t.AddProblem(name, fmt.Sprintf("invalid name %q", name),
			fmt.Sprintf("use at most %d lower-case letters, digits and inner hyphens", maxNameBytes))
	}
}

func (p *parser) readRegions(t *inspector.Table) {
	for _, name := range t.Keys() {
		checkName(t, name)
		r := t.Table(name)
		r.Require("list the places of the region", "places")
		region := Region{Name: name}
		region.Places, _ = r.Texts("places")
		region.ZoneDelay, _ = r.Duration("zone-delay", 0, maxDelay)
		region.CallerDelay, _ = r.Duration("caller-delay", 0, maxDelay)
		r.RejectUnknownKeys()
		for _, place := range region.Places {
			if other, taken := p.regionOf[place]; taken {
				r.AddProblem("places", fmt.Sprintf("place %q is already listed in region %q", place, other), "list each place once")
			}
			p.regionOf[place] = name
		}
		p.tree.Regions = append(p.tree.Regions, region)
	}
}

func (p *parser) readPlaces(t *inspector.Table) {
	for _, name := range t.Keys() {
		checkName(t, name)
		// Regions are optional: their delays matter only to fleets with several places.
		if _, listed := p.regionOf[name]; !listed && len(p.tree.Regions) > 0 {
			t.AddProblem(name, "no region lists this place", "add it to the key places of a region")
		}
		if slices.Contains(p.tree.DelegatedPlaces, name) {
			t.AddProblem(name, "place-documents says that document "+PlaceDocumentName(name)+" defines this place",
				"remove the table or take the place out of place-documents")
		}
		table := t.Table(name)
		node := placeNode{overrides: readOverrides(table), serviceNodes: map[string]serviceNode{}}
		node.evacuated, _ = table.Boolean("evacuated")
		firstServer := len(p.tree.BackendServers)
		inherited := p.inheritedTunables()
		checkHealthTimeout(table, node.overrides, inherited)
		inherited = apply(inherited, node.overrides)
		services := table.Table("services")
		for _, s := range services.Keys() {
			if p.isPlaceDocument {
				checkName(services, s)
			} else if _, declared := p.declaredServices[s]; !declared {
				services.AddProblem(s, fmt.Sprintf("service %q is not declared", s), fmt.Sprintf("add [%s] with an address or correct the name", inspector.Join("services", s)))
			}
			node.serviceNodes[s] = p.readPlaceService(services.Table(s), name, s, inherited)
		}
		table.RejectUnknownKeys()
		for i := range p.tree.BackendServers[firstServer:] {
			p.tree.BackendServers[firstServer+i].Evacuated = node.evacuated
		}
		p.tree.places[name] = node
	}
}

func (p *parser) readPlaceService(t *inspector.Table, place, name string, inherited Tunables) serviceNode {
	node := serviceNode{overrides: readOverrides(t), groups: map[string]overrides{}}
	checkHealthTimeout(t, node.overrides, inherited)
	inherited = apply(inherited, node.overrides)
	groups := t.Table("groups")
	for _, g := range groups.Keys() {
		checkName(groups, g)
		table := groups.Table(g)
		o := readOverrides(table)
		checkHealthTimeout(table, o, inherited)
		node.groups[g] = o
		common := BackendServer{Service: name, AvailabilityZone: place, Group: g, Tunables: p.pool.intern(apply(inherited, o))}
		for _, s := range table.Tables("backend-servers") {
			p.readBackendServer(s, common)
		}
		table.RejectUnknownKeys()
	}
	t.RejectUnknownKeys()
	return node
}

// tunablesPool interns tunables, so that backend servers with equal values share one copy.
type tunablesPool map[Tunables]*Tunables

// intern returns the shared copy of the tunables.
func (p tunablesPool) intern(t Tunables) *Tunables {
	shared, ok := p[t]
	if !ok {
		shared = &t
		p[t] = shared
	}
	return shared
}

func (p *parser) readBackendServer(t *inspector.Table, s BackendServer) {
	t.Require("write name and address of the backend server", "name", "address")
	var ok bool
	if s.Name, ok = t.Text("name"); ok {
		key := serverName{s.Service, s.Name}
		if other, taken := p.usedServerNames[key]; taken {
			t.AddProblem("name", fmt.Sprintf("service %q already has a backend server %q (%s)", s.Service, s.Name, other), "give each backend server of a service its own name")
		}
		p.usedServerNames[key] = t.Key("name")
	}
	if s.Address, ok = t.AddrPort("address"); ok {
		p.reserveAddress(t, "address", s.Address, s.Service)
	}
	s.HealthAddress = p.readHealthAddress(t, s)
	state, _ := t.Choice("state", "live", "leaving")
	s.Leaving = state == "leaving"
	t.RejectUnknownKeys()
	p.tree.BackendServers = append(p.tree.BackendServers, s)
}

// readHealthAddress returns the address for health checks, which is the data address unless the document sets another:
// health checks use TCP and data uses UDP, so one IP address and port can serve both.
func (p *parser) readHealthAddress(t *inspector.Table, s BackendServer) netip.AddrPort {
	health, ok := t.AddrPort("health")
	if !t.Has("health") {
		health, ok = s.Address, s.Address.IsValid() && p.usedAddresses[s.Address].key == t.Key("address")
	}
	if !ok {
		return health
	}
	if other, taken := p.usedHealthAddresses[health]; taken {
		t.AddProblem("health", fmt.Sprintf("health address %s is already used by %s", health, other), "give each backend server its own health address")
		return health
	}
	p.usedHealthAddresses[health] = t.Key("health")
	return health
}

// checkHealthTimeout reports a health check timeout that exceeds the interval, at the level that sets one of the two.
func checkHealthTimeout(t *inspector.Table, o overrides, inherited Tunables) {
	effective := apply(inherited, o)
	if effective.HealthTimeout <= effective.HealthInterval {
		return
	}
	key := "health-timeout"
	if o[key] == nil {
		key = "health-interval"
	}
	if o[key] != nil {
		t.AddProblem(key, fmt.Sprintf("health-timeout %s exceeds health-interval %s", effective.HealthTimeout, effective.HealthInterval),
			"lower health-timeout or raise health-interval")
	}
}

func (p *parser) readTokenKeys(root *inspector.Table) {
	const remedy = `add [[token-keys]] with id and secret, and seal-with with the id of one of them`
	root.Require(remedy, "token-keys", "seal-with")
	ids := map[uint8]string{}
	secrets := map[[sealer.SecretSize]byte]string{}
	for _, t := range root.Tables("token-keys") {
		t.Require("each token key needs id and secret", "id", "secret")
		id, ok := t.Integer("id", 0, 255)
		if ok {
			if other, taken := ids[uint8(id)]; taken {
				t.AddProblem("id", fmt.Sprintf("key id %d is already used by %s", id, other), "give each key its own id")
			}
			ids[uint8(id)] = t.Path("id")
		}
		key := sealer.Key{ID: uint8(id)}
		if key.Secret, ok = readSecret(t); ok {
			if other, taken := secrets[key.Secret]; taken {
				t.AddProblem("secret", "the secret is already used by "+other, "generate a new random secret for each key")
			}
			secrets[key.Secret] = t.Path("secret")
		}
		t.RejectUnknownKeys()
		p.tree.TokenKeys = append(p.tree.TokenKeys, key)
	}
	sealWith, ok := root.Integer("seal-with", 0, 255)
	if ok && ids[uint8(sealWith)] == "" {
		root.AddProblem("seal-with", fmt.Sprintf("no token key has the id %d", sealWith), "add the key to token-keys or name one that is listed"+formatKeyIDs(ids))
	}
	p.tree.SealingKeyID = uint8(sealWith)
}

// formatKeyIDs returns the ids as a suffix of an error message.
func formatKeyIDs(ids map[uint8]string) string {
	if len(ids) == 0 {
		return ""
	}
	var names []string
	for id := range ids {
		names = append(names, strconv.Itoa(int(id)))
	}
	slices.Sort(names)
	return ": " + strings.Join(names, ", ")
}

// readSecret returns the secret of a token key. Its problems do not repeat the text, which is confidential.
func readSecret(t *inspector.Table) (secret [sealer.SecretSize]byte, ok bool) {
	text, ok := t.Secret("secret")
	if !ok {
		return secret, false
	}
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != sealer.SecretSize {
		t.AddProblem("secret", fmt.Sprintf("not %d bytes in hex", sealer.SecretSize), fmt.Sprintf("write %d hexadecimal digits", 2*sealer.SecretSize))
		return secret, false
	}
	return [sealer.SecretSize]byte(b), true
}

func (p *parser) readCallerGroups(t *inspector.Table) {
	groupOf := map[netip.Prefix]string{}
	for _, name := range t.Keys() {
		checkName(t, name)
		group := CallerGroup{Name: name}
		texts, _ := t.Texts(name)
		for i, text := range texts {
			prefix, err := parsePrefix(text)
			if err != nil {
				t.AddItemProblem(name, i, fmt.Sprintf("%q is not an address prefix", text), `write a prefix such as "10.1.0.0/16"`)
				continue
			}
			if other, taken := groupOf[prefix]; taken {
				t.AddItemProblem(name, i, fmt.Sprintf("prefix %s is already listed in caller group %q", prefix, other), "list each prefix once")
			}
			groupOf[prefix] = name
			group.Prefixes = append(group.Prefixes, prefix)
		}
		p.tree.CallerGroups = append(p.tree.CallerGroups, group)
	}
}

// parsePrefix accepts only prefixes whose host bits are zero, because other prefixes are usually typing errors.
func parsePrefix(text string) (netip.Prefix, error) {
	prefix, err := netip.ParsePrefix(text)
	if err != nil {
		return netip.Prefix{}, err
	}
	if prefix != prefix.Masked() || prefix.Addr().Is4In6() {
		return netip.Prefix{}, fmt.Errorf("prefix %s has host bits set", text)
	}
	return prefix, nil
}
