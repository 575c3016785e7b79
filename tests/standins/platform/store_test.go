package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
)

// TestDocuments guards against long polls that miss a change, accidental reuse of a revision and calls that are not counted
// as the real platform counts them.
func TestDocuments(t *testing.T) {
	g := NewWithT(t)
	s := newStore()
	api := httptest.NewServer(s.api())
	defer api.Close()
	get := func(query string) (int, string) {
		a, err := http.Get(api.URL + "/v1/documents/settings" + query)
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = a.Body.Close() }()
		return a.StatusCode, a.Header.Get("X-Revision")
	}
	put := func(query string) string {
		w := httptest.NewRecorder()
		s.admin().ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/v1/documents/settings"+query, strings.NewReader("x")))
		return w.Body.String()
	}
	status, _ := get("")
	g.Expect(status).To(Equal(http.StatusNotFound))
	g.Expect(put("")).To(Equal("1"))
	status, _ = get("?after=1&wait=20ms")
	g.Expect(status).To(Equal(http.StatusNotModified))
	var watch errgroup.Group
	var revision string
	watch.Go(func() error { _, revision = get("?after=1&wait=5s"); return nil })
	time.Sleep(50 * time.Millisecond)
	g.Expect(put("?revision=7")).To(Equal("7"))
	g.Expect(watch.Wait()).To(Succeed())
	g.Expect(revision).To(Equal("7"))
	g.Expect(s.setFaults(admin.PlatformFaults{StaleRevision: map[string]uint64{"settings": 1}})).To(Succeed())
	_, revision = get("?after=7")
	g.Expect(revision).To(Equal("1"))
	g.Expect(s.setFaults(admin.PlatformFaults{})).To(Succeed())
	put("?revision=9&callers=127.1.0.0/16")
	_, revision = get("")
	g.Expect(revision).To(Equal("7"), "a version for other callers")
	put("?revision=8&callers=127.0.0.0/16")
	_, revision = get("")
	g.Expect(revision).To(Equal("8"))
	g.Expect(s.setFaults(admin.PlatformFaults{Outage: true})).To(Succeed())
	status, _ = get("")
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(s.callCounts().ByCaller).To(Equal(map[string]uint64{"127.0.0.1": 7}))
}
