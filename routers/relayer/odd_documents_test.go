package relayer_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"path"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/models/view"
	"github.com/bluebelldyke/bluebelldyke/services/reviser"
)

// documentStore is a fake of the platform's document API that serves any documents.
type documentStore struct {
	mu        sync.Mutex
	revisions map[string]int
	contents  map[string]string
}

func (s *documentStore) set(name, content string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revisions[name]++
	s.contents[name] = content
}

func (s *documentStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := path.Base(r.URL.Path)
	s.mu.Lock()
	revision, content := s.revisions[name], s.contents[name]
	s.mu.Unlock()
	if r.URL.Query().Get("wait") != "" && r.URL.Query().Get("after") == strconv.Itoa(revision) {
		time.Sleep(10 * time.Millisecond)
	}
	switch {
	case revision == 0:
		w.WriteHeader(http.StatusNotFound)
	case r.URL.Query().Get("after") == strconv.Itoa(revision):
		w.WriteHeader(http.StatusNotModified)
	default:
		w.Header().Set("X-Revision", strconv.Itoa(revision))
		fmt.Fprint(w, content)
	}
}

func newDocumentStore(t *testing.T) (*documentStore, string) {
	s := &documentStore{revisions: map[string]int{}, contents: map[string]string{}}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, server.URL
}

// vmEntry returns an entry of a VM list.
func vmEntry(port int, state string) string {
	return fmt.Sprintf(`{"address":"10.1.0.1:%d","availability-zone":"souillac","role":"backend-server","state":%q}`, port, state)
}

// TestOddVMEntry guards against a daemon that stops following the VM list because of one odd entry.
func TestOddVMEntry(t *testing.T) {
	g := NewWithT(t)
	store, url := newDocumentStore(t)
	store.set("settings", settingsWith(3, "2"))
	store.set("vms", `{"vms":[`+vmEntry(7000, "live")+`]}`)
	d := newDaemon(t, &zone{}, url, nil)
	d.run(t)
	var v *view.View
	g.Eventually(d.Views(), 5*time.Second).Should(Receive(&v))
	odd := `{"address":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`
	store.set("vms", `{"vms":[`+odd+`,{"address":"10.1.0.1:99999","availability-zone":1e300},`+vmEntry(7000, "leaving")+`]}`)
	g.Eventually(d.Views(), 5*time.Second).Should(Receive(&v))
	g.Expect(v.VMList.VMs).To(HaveLen(1))
	g.Expect(v.VMList.VMs[0].Leaving).To(BeTrue())
	g.Expect(d.audit.causes(reviser.LeftOut)).To(Equal([]reviser.Cause{reviser.CauseInvalidEntry, reviser.CauseInvalidEntry}))
}

// TestInvalidDocument guards against a daemon that ends, or that stops following a document, because of invalid contents.
func TestInvalidDocument(t *testing.T) {
	g := NewWithT(t)
	store, url := newDocumentStore(t)
	valid := settingsWith(3, "2")
	store.set("settings", valid)
	store.set("vms", `{"vms":[`+vmEntry(7000, "live")+`]}`)
	d := newDaemon(t, &zone{}, url, nil)
	d.run(t)
	var v *view.View
	g.Eventually(d.Views(), 5*time.Second).Should(Receive(&v))
	const megabyte = 1 << 20
	for _, name := range []string{"settings", "vms"} {
		for _, odd := range []string{
			"", "\x00", "{", strings.Repeat("[", megabyte), "x = " + strings.Repeat("[", megabyte) + strings.Repeat("]", megabyte),
			strings.Repeat("{", megabyte), strings.Repeat("a.", megabyte/2) + "a = 1", `{"vms":` + strings.Repeat("[", megabyte) + strings.Repeat("]", megabyte) + "}",
			strings.Replace(valid, "slots = 2", "slots = 9223372036854775808", 1), strings.Replace(valid, "slots = 2", "slots = 1e300", 1),
			strings.Replace(valid, "slots = 2", "weight = nan", 1), strings.Replace(valid, "slots = 2", "weight = inf", 1),
			strings.Replace(valid, "slots = 2", "slots = -9223372036854775808", 1), strings.Replace(valid, "10.1.0.1:7000", "10.1.0.1:99999", 1),
			strings.Replace(valid, "10.1.0.1:7000", "0.0.0.0:1", 1), strings.Replace(valid, "slots = 2", `slots = [2]`, 1), strings.Repeat("x", 9*megabyte),
		} {
			store.set(name, odd)
			if len(odd) <= 8*megabyte { // longer ones are not read
				g.Eventually(func() int { return len(d.audit.causes(reviser.Rejected)) }, 5*time.Second).Should(BeNumerically(">", 0), "%.30q", odd)
			} else {
				time.Sleep(50 * time.Millisecond)
			}
			d.audit.clear()
			g.Expect(d.Views()).NotTo(Receive())
		}
		if name == "settings" {
			valid = settingsWith(4, "3")
			store.set(name, valid)
		} else {
			store.set(name, `{"vms":[`+vmEntry(7000, "leaving")+`]}`)
		}
		g.Eventually(d.Views(), 5*time.Second).Should(Receive(&v), "the next valid %s", name)
	}
	g.Expect(v.Tree.BackendServers).To(HaveLen(4))
	g.Expect(v.VMList.VMs[0].Leaving).To(BeTrue())
}
