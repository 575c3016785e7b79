package fleet_test

import (
	"fmt"
	"strings"
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

// TestParse guards against entries that are lost, changed or accepted twice, and against a second entry of a VM that is not reported.
func TestParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ports := rapid.SliceOfN(rapid.IntRange(1, 20), 0, 6).Draw(t, "ports")
		content, seen := "", map[int]bool{}
		var unique []int
		for i, port := range ports {
			if i > 0 {
				content += ","
			}
			content += fmt.Sprintf(`{"address":"10.0.0.1:%d","availability-zone":"a","role":"balancer","state":"live","rack":"r1"}`, port)
			if !seen[port] {
				unique = append(unique, port)
			}
			seen[port] = true
		}
		l, err := fleet.Parse(1, []byte(`{"vms":[`+content+`]}`))
		if err != nil {
			t.Fatal(err)
		}
		if len(l.VMs) != len(unique) || l.SkippedCount != len(ports)-len(unique) || len(l.Skipped) != l.SkippedCount {
			t.Fatalf("%d VMs and %d skipped entries of %v", len(l.VMs), l.SkippedCount, ports)
		}
		for i, vm := range l.VMs {
			if int(vm.Address.Port()) != unique[i] || vm.Role != fleet.Balancer {
				t.Fatalf("entry %d is %+v", i, vm)
			}
		}
	})
}

// TestOddEntry guards against one odd entry of another writer that keeps a daemon from following the list.
func TestOddEntry(t *testing.T) {
	const valid = `{"address":"10.0.0.1:1","availability-zone":"a","role":"balancer","state":"live"}`
	deep := func(open, closed string) string {
		return strings.Repeat(open, 700_000) + "1" + strings.Repeat(closed, 700_000)
	}
	field := func(name, value string) string {
		return `{"address":"10.0.0.2:1","availability-zone":"a","role":"balancer","state":"live",` + fmt.Sprintf("%q:%s}", name, value)
	}
	for name, entry := range map[string]string{
		"nested array": deep("[", "]"), "nested object": deep(`{"a":`, "}"), "nested field": field("address", deep("[", "]")), "null": "null", "text": `"x"`,
		"number": "1e999", "array": "[]", "empty": "{}", "port": field("address", `"10.0.0.2:99999"`), "no port": field("address", `"10.0.0.2"`),
		"unspecified": field("address", `"0.0.0.0:1"`), "zone": field("availability-zone", "18446744073709551616"), "role": field("role", "[1e300]"),
		"state": field("state", "-1e300"), "huge": field("state", `"`+strings.Repeat("x", 1<<20)+`"`), "twice": valid,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l, err := fleet.Parse(1, []byte(`{"vms":[`+valid+","+entry+","+strings.Replace(valid, "0.1", "0.3", 1)+`]}`))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(l.VMs).To(HaveLen(2))
			g.Expect(l.SkippedCount).To(Equal(1))
			g.Expect(l.Skipped[0].Key).To(HavePrefix("vms[1]"))
		})
	}
	g := NewWithT(t)
	l, err := fleet.Parse(1, []byte(`{"vms":[1,`+valid+`,`+strings.Replace(valid, "live", "leaving", 1)+`]}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.VMs).To(HaveLen(1))
	g.Expect(l.VMs[0].Leaving).To(BeTrue(), "one of two entries says so")
	g.Expect(l.Skipped[1].Cause).To(ContainSubstring("already the address of vms[1]"))
	l, err = fleet.Parse(1, []byte(`{"vms":[`+field("unknown", deep("[", "]"))+`]}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.VMs).To(HaveLen(1), "unknown fields are ignored")
	for _, content := range []string{"", "[]", "{", `{"vms":[` + valid + `}`, `{"vms":[` + valid + `]`, `{"vms":[[` + deep("[", "]") + `}]}`, `{"vms":1}`, deep("[", "]"), `{"vms":[1,2]}`} {
		_, err := fleet.Parse(1, []byte(content))
		g.Expect(inspector.IsErrInvalid(err)).To(BeTrue(), "%.40s", content)
	}
}

// FuzzParse guards against panics and against an accepted list with incomplete entries.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"vms":[{"address":"10.0.0.1:1","availability-zone":"a","role":"balancer","state":"live"}]}`))
	f.Add([]byte(`{"vms":[]}`))
	f.Add([]byte(`{"vms":null}`))
	f.Add([]byte(`[]`))
	f.Add([]byte(`{"vms":[{"address":1e999},{"address":"10.0.0.1:1","availability-zone":"a","role":"balancer","state":"live","\\"":"["}]}`))
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
