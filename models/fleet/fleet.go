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

// Parse parses the JSON content as the given revision of the VM list. The error is an inspector.ErrInvalid that lists all
// problems found.
func Parse(revision uint64, content []byte) (*List, error) {
	report := inspector.NewReport(documentName)
	var wire wireList
	if err := json.Unmarshal(content, &wire); err != nil {
		report.Add("", err.Error(), "correct the JSON document on the platform")
		return nil, report.Err()
	}
	if wire.VMs == nil {
		report.Add("vms", "missing", "write an array of VMs; an empty one is valid")
		return nil, report.Err()
	}
	l := &List{Revision: revision, VMs: make([]VM, 0, len(*wire.VMs))}
	positions := make(map[netip.AddrPort]int, len(*wire.VMs))
	for i, w := range *wire.VMs {
		path := fmt.Sprintf("vms[%d]", i)
		vm := parseVM(report, path, w)
		if first, taken := positions[vm.Address]; taken && vm.Address.IsValid() {
			report.Add(path+".address", fmt.Sprintf("%s is already the address of vms[%d]", vm.Address, first), "list each VM once")
		} else {
			positions[vm.Address] = i
		}
		l.VMs = append(l.VMs, vm)
	}
	if err := report.Err(); err != nil {
		return nil, err
	}
	return l, nil
}

func parseVM(report *inspector.Report, path string, w wireVM) VM {
	vm := VM{AvailabilityZone: w.AvailabilityZone}
	address, err := netip.ParseAddrPort(w.Address)
	if err != nil || address.Addr().Zone() != "" || address.Addr().IsUnspecified() || address.Port() == 0 {
		report.Add(path+".address", fmt.Sprintf("%q is not a concrete address", w.Address), "write an IP address and a port")
	} else {
		vm.Address = netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	}
	if w.AvailabilityZone == "" {
		report.Add(path+".availability-zone", "missing", "write the name of the availability zone")
	}
	switch w.Role {
	case "balancer":
		vm.Role = Balancer
	case "backend-server":
		vm.Role = BackendServer
	default:
		report.Add(path+".role", fmt.Sprintf("unknown role %q", w.Role), "write balancer or backend-server")
	}
	switch w.State {
	case "live":
	case "leaving":
		vm.Leaving = true
	default:
		report.Add(path+".state", fmt.Sprintf("unknown state %q", w.State), "write live or leaving")
	}
	return vm
}
