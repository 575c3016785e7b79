package fleet_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bluebelldyke/bluebelldyke/models/fleet"
	"github.com/bluebelldyke/bluebelldyke/modules/inspector"
)

func ExampleParse() {
	l, err := fleet.Parse(4, []byte(`{"vms":[
		{"address":"10.0.0.1:7401","availability-zone":"souillac","role":"balancer","state":"live"},
		{"address":"10.1.0.1:9000","availability-zone":"souillac","role":"backend-server","state":"leaving"}]}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, vm := range l.VMs {
		fmt.Println(vm.Address, vm.AvailabilityZone, vm.Role, vm.Leaving)
	}
	_, err = fleet.Parse(5, []byte(`{"vms":[{"address":"10.0.0.1","availability-zone":"souillac","role":"router","state":"live"}]}`))
	fmt.Println(err)
	// Output:
	// 10.0.0.1:7401 souillac balancer false
	// 10.1.0.1:9000 souillac backend-server true
	// vms: vms[0].address: "10.0.0.1" is not a concrete address: write an IP address and a port
	// vms: vms[0].role: unknown role "router": write balancer or backend-server
}

// TestParse guards against entries that are lost, changed or accepted twice.
func TestParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ports := rapid.SliceOfN(rapid.IntRange(1, 20), 0, 6).Draw(t, "ports")
		content, seen, duplicate := "", map[int]bool{}, false
		for i, port := range ports {
			if i > 0 {
				content += ","
			}
			content += fmt.Sprintf(`{"address":"10.0.0.1:%d","availability-zone":"a","role":"balancer","state":"live","rack":"r1"}`, port)
			duplicate = duplicate || seen[port]
			seen[port] = true
		}
		l, err := fleet.Parse(1, []byte(`{"vms":[`+content+`]}`))
		if duplicate != inspector.IsErrInvalid(err) {
			t.Fatalf("duplicate %v, error %v", duplicate, err)
		}
		if duplicate {
			return
		}
		for i, vm := range l.VMs {
			if int(vm.Address.Port()) != ports[i] || vm.Role != fleet.Balancer {
				t.Fatalf("entry %d is %+v", i, vm)
			}
		}
	})
}

// FuzzParse guards against panics and against an accepted list with incomplete entries.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"vms":[{"address":"10.0.0.1:1","availability-zone":"a","role":"balancer","state":"live"}]}`))
	f.Add([]byte(`{"vms":[]}`))
	f.Add([]byte(`{"vms":null}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, content []byte) {
		l, err := fleet.Parse(1, content)
		if err != nil {
			if !inspector.IsErrInvalid(err) {
				t.Fatalf("unexpected kind of error: %v", err)
			}
			return
		}
		for _, vm := range l.VMs {
			if !vm.Address.IsValid() || vm.Role == 0 || vm.AvailabilityZone == "" {
				t.Fatalf("accepted VM %+v", vm)
			}
		}
	})
}

// TestMerge guards against a merged list that shows a VM as live because only one of several lists says that it is
// leaving.
func TestMerge(t *testing.T) {
	g := NewWithT(t)
	parse := func(content string) *fleet.List {
		l, err := fleet.Parse(3, []byte(content))
		g.Expect(err).NotTo(HaveOccurred())
		return l
	}
	root := parse(`{"vms":[{"address":"10.0.0.1:1","availability-zone":"a","role":"balancer","state":"live"}]}`)
	place := parse(`{"vms":[{"address":"10.0.0.1:1","availability-zone":"a","role":"balancer","state":"leaving"},
		{"address":"10.0.0.2:1","availability-zone":"a","role":"backend-server","state":"live"}]}`)
	g.Expect(fleet.Merge(root, nil)).To(BeIdenticalTo(root))
	merged := fleet.Merge(root, []*fleet.List{place, root})
	g.Expect(merged.VMs).To(HaveLen(2))
	g.Expect(merged.VMs[0].Leaving).To(BeTrue())
	g.Expect(root.VMs[0].Leaving).To(BeFalse())
}
