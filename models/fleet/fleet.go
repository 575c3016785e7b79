// Package fleet holds the VM list: the VMs that the platform lists, with their roles and states. The list may be out of
// date, so it is only advisory.
package fleet

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/bluebelldyke/bluebelldyke/modules/inspector"
)

// Role is what runs on a VM.
type Role uint8

// The roles of VMs.
const (
	Balancer Role = iota + 1
	BackendServer
)

// String returns the name of the role in the document.
func (r Role) String() string {
	switch r {
	case Balancer:
		return "balancer"
	case BackendServer:
		return "backend-server"
	default:
		return fmt.Sprintf("role(%d)", uint8(r))
	}
}

// VM is one entry of the list. The address of a balancer is its peer address.
type VM struct {
	Address          netip.AddrPort
	AvailabilityZone string
	Role             Role
	Leaving          bool
}

// List is one valid revision of the VM list. It is not changed after Parse.
type List struct {
	Revision uint64
	VMs      []VM
	// Skipped are the problems of the entries that are not in VMs, and SkippedCount is the number of these entries.
	Skipped      []inspector.Problem
	SkippedCount int
}

// wireList and wireVM are the JSON form. Unknown keys are ignored, because the platform owns the format and may add some.
type wireList struct {
	VMs *[]wireVM `json:"vms"`
}

type wireVM struct {
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability-zone"`
	Role             string `json:"role"`
	State            string `json:"state"`
}

// documentName is the name of the VM list on the platform and in error messages.
const documentName = "vms"

// maxSkipped limits the entries whose problems a list holds.
const maxSkipped = 10

// Parse parses the JSON content as the given revision of the VM list. An entry with a problem is skipped, because the platform owns the
// list and the other VMs must still be followed. The error is an inspector.ErrInvalid: the content is no VM list, or all of its entries
// have problems.
func Parse(revision uint64, content []byte) (*List, error) {
	var wire wireList
	if err := json.Unmarshal(content, &wire); err != nil {
		return parseEntries(revision, content)
	}
	if wire.VMs == nil {
		return nil, invalid("vms", "missing", "write an array of VMs; an empty one is valid")
	}
	p := newParser(revision, len(*wire.VMs))
	for i, w := range *wire.VMs {
		p.add(i, w)
	}
	return p.result()
}

// parseEntries parses a list with an entry that cannot be decoded, such as one with a number in place of a text.
func parseEntries(revision uint64, content []byte) (*List, error) {
	var wire struct {
		VMs *[]json.RawMessage `json:"vms"`
	}
	if err := json.Unmarshal(prune(content), &wire); err != nil {
		return nil, invalid("", err.Error(), "correct the JSON document on the platform")
	}
	if wire.VMs == nil {
		return nil, invalid("vms", "missing", "write an array of VMs; an empty one is valid")
	}
	p := newParser(revision, len(*wire.VMs))
	for i, raw := range *wire.VMs {
		var w wireVM
		if err := json.Unmarshal(raw, &w); err != nil {
			p.skip(inspector.Problem{Key: entryPath(i), Cause: err.Error(), Remedy: "write an object with texts"})
			continue
		}
		p.add(i, w)
	}
	return p.result()
}

func invalid(key, cause, remedy string) error {
	report := inspector.NewReport(documentName)
	report.Add(key, cause, remedy)
	return report.Err()
}

func entryPath(index int) string { return fmt.Sprintf("vms[%d]", index) }

// parser collects the entries of a list.
type parser struct {
	list      *List
	positions map[netip.AddrPort]position
}

// position is the index of an entry in the document and in the list.
type position struct{ document, list int }

func newParser(revision uint64, count int) *parser {
	return &parser{list: &List{Revision: revision, VMs: make([]VM, 0, count)}, positions: make(map[netip.AddrPort]position, count)}
}

// add adds the entry at the index of the document, unless it has a problem. Of several entries of a VM the first one counts, but the VM is
// leaving if any of them says so.
func (p *parser) add(index int, w wireVM) {
	vm, problems := parseVM(entryPath(index), w)
	if first, taken := p.positions[vm.Address]; taken && len(problems) == 0 {
		p.list.VMs[first.list].Leaving = p.list.VMs[first.list].Leaving || vm.Leaving
		problems = append(problems, inspector.Problem{
			Key: entryPath(index) + ".address", Cause: fmt.Sprintf("%s is already the address of vms[%d]", vm.Address, first.document), Remedy: "list each VM once",
		})
	}
	if len(problems) > 0 {
		p.skip(problems...)
		return
	}
	p.positions[vm.Address] = position{index, len(p.list.VMs)}
	p.list.VMs = append(p.list.VMs, vm)
}

// skip records the problems of one entry.
func (p *parser) skip(problems ...inspector.Problem) {
	if p.list.SkippedCount++; p.list.SkippedCount <= maxSkipped {
		p.list.Skipped = append(p.list.Skipped, problems...)
	}
}

func (p *parser) result() (*List, error) {
	if len(p.list.VMs) == 0 && p.list.SkippedCount > 0 {
		return nil, &inspector.ErrInvalid{File: documentName, Problems: p.list.Skipped}
	}
	return p.list, nil
}

// parseVM returns the VM of an entry and the problems of the entry.
func parseVM(path string, w wireVM) (vm VM, problems []inspector.Problem) {
	add := func(key, cause, remedy string) {
		problems = append(problems, inspector.Problem{Key: path + "." + key, Cause: cause, Remedy: remedy})
	}
	vm.AvailabilityZone = w.AvailabilityZone
	address, err := netip.ParseAddrPort(w.Address)
	if err != nil || address.Addr().Zone() != "" || address.Addr().IsUnspecified() || address.Port() == 0 {
		add("address", fmt.Sprintf("%q is not a concrete address", w.Address), "write an IP address and a port")
	} else {
		vm.Address = netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	}
	if w.AvailabilityZone == "" {
		add("availability-zone", "missing", "write the name of the availability zone")
	}
	switch w.Role {
	case "balancer":
		vm.Role = Balancer
	case "backend-server":
		vm.Role = BackendServer
	default:
		add("role", fmt.Sprintf("unknown role %q", w.Role), "write balancer or backend-server")
	}
	switch w.State {
	case "live":
	case "leaving":
		vm.Leaving = true
	default:
		add("state", fmt.Sprintf("unknown state %q", w.State), "write live or leaving")
	}
	return vm, problems
}
