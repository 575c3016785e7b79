package main

import (
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
)

const (
	// maxDocument is the largest document in bytes, as on the real platform.
	maxDocument = 1 << 20
	// maxWait bounds a long poll.
	maxWait = 5 * time.Minute
	// cutHangTime is how long a call of a cut-off caller gets no response before its connection is closed.
	cutHangTime = 30 * time.Second
)

// documentVersion is one revision of a document. It is served from the time visibleFrom on, to the callers in the prefix
// callers if that is valid and to all callers otherwise.
type documentVersion struct {
	revision    uint64
	content     []byte
	visibleFrom time.Time
	callers     netip.Prefix
}

func (v *documentVersion) isServedTo(caller netip.Addr) bool {
	return !v.callers.IsValid() || v.callers.Contains(caller)
}

// store holds the versions of all documents, the faults and the call counts.
type store struct {
	mu            sync.Mutex
	versions      map[string][]documentVersion // in the order of the PUTs
	changed       chan struct{}                // closed and replaced at each change
	faults        admin.PlatformFaults
	callsByCaller map[string]uint64
	totalCalls    uint64
	countedSince  time.Time
}

func newStore() *store {
	return &store{
		versions: map[string][]documentVersion{}, changed: make(chan struct{}), callsByCaller: map[string]uint64{}, countedSince: time.Now(),
	}
}

func (s *store) api() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/documents/{name}", s.readDocument)
	return mux
}

func (s *store) admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/documents/{name}", s.putDocument)
	mux.HandleFunc("GET /admin/calls", admin.HandleGet(s.callCounts))
	mux.HandleFunc("POST /admin/faults", admin.HandlePost(s.setFaults))
	return mux
}

// putDocument stores a document. Its revision is one more than the highest so far, or the one given by ?revision=N, which
// may be lower than or equal to an earlier one. With ?callers=PREFIX it is served to those callers only; the others get the
// version before it. The body of the response is the revision.
func (s *store) putDocument(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocument))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	var revision uint64
	if text := r.URL.Query().Get("revision"); text != "" {
		if revision, err = strconv.ParseUint(text, 10, 64); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	var callers netip.Prefix
	if text := r.URL.Query().Get("callers"); text != "" {
		if callers, err = netip.ParsePrefix(text); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	_, _ = io.WriteString(w, strconv.FormatUint(s.addVersion(r.PathValue("name"), revision, b, callers), 10))
}

func (s *store) addVersion(name string, revision uint64, content []byte, callers netip.Prefix) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision == 0 {
		revision = 1
		for _, v := range s.versions[name] {
			revision = max(revision, v.revision+1)
		}
	}
	v := documentVersion{revision: revision, content: content, visibleFrom: time.Now(), callers: callers}
	if name == "vms" {
		v.visibleFrom = v.visibleFrom.Add(time.Duration(s.faults.VMsLag))
	}
	s.versions[name] = append(s.versions[name], v)
	s.notifyWatches()
	if wait := time.Until(v.visibleFrom); wait > 0 {
		time.AfterFunc(wait, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.notifyWatches()
		})
	}
	return revision
}

// notifyWatches wakes all long polls. The caller holds the lock.
func (s *store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setFaults(f admin.PlatformFaults) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, n := range f.StaleRevision {
		if _, ok := s.findRevision(name, n); !ok {
			return eris.Errorf("document %s has no revision %d: store it first", name, n)
		}
	}
	s.faults = f
	s.notifyWatches()
	return nil
}

func (s *store) findRevision(name string, revision uint64) (documentVersion, bool) {
	for _, v := range s.versions[name] {
		if v.revision == revision {
			return v, true
		}
	}
	return documentVersion{}, false
}

// currentVersion returns the version that is served to a caller now. The lock must be held.
func (s *store) currentVersion(name string, caller netip.Addr) (documentVersion, bool) {
	if n, ok := s.faults.StaleRevision[name]; ok {
		return s.findRevision(name, n)
	}
	now := time.Now()
	for i := len(s.versions[name]) - 1; i >= 0; i-- {
		if v := s.versions[name][i]; !v.visibleFrom.After(now) && v.isServedTo(caller) {
			return v, true
		}
	}
	return documentVersion{}, false
}

func (s *store) callCounts() admin.PlatformCalls {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := admin.PlatformCalls{Total: s.totalCalls, ByCaller: map[string]uint64{}, Since: s.countedSince}
	for k, v := range s.callsByCaller {
		c.ByCaller[k] = v
	}
	return c
}

// lookupResult is what a caller gets for a document at one time.
type lookupResult struct {
	version   documentVersion
	found     bool
	outage    bool
	callerCut bool
	changed   <-chan struct{}
}

func (s *store) lookUp(name string, caller netip.Addr) lookupResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.currentVersion(name, caller)
	result := lookupResult{version: v, found: ok, outage: s.faults.Outage, changed: s.changed}
	for _, p := range s.faults.CutPrefixes {
		result.callerCut = result.callerCut || p.Contains(caller)
	}
	return result
}

func (s *store) countCall(caller netip.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totalCalls++
	s.callsByCaller[caller.String()]++
}

func (s *store) readDocument(w http.ResponseWriter, r *http.Request) {
	remote, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	caller := remote.Addr()
	s.countCall(caller)
	after, wait, err := parseWatch(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		result := s.lookUp(r.PathValue("name"), caller)
		switch {
		case result.callerCut:
			holdCall(r)
			panic(http.ErrAbortHandler)
		case result.outage:
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		case !result.found:
			http.Error(w, "no such document", http.StatusNotFound)
			return
		case result.version.revision != after:
			w.Header().Set("X-Revision", strconv.FormatUint(result.version.revision, 10))
			_, _ = w.Write(result.version.content)
			return
		}
		select {
		case <-result.changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

// holdCall keeps a call of a cut-off caller open without a response, as a network that drops its packets does.
func holdCall(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(cutHangTime):
	}
}

// parseWatch returns the revision after which a long poll waits for a change, and how long it waits.
func parseWatch(r *http.Request) (after uint64, wait time.Duration, err error) {
	q := r.URL.Query()
	if text := q.Get("after"); text != "" {
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			return 0, 0, eris.Wrap(err, "after")
		}
	}
	if text := q.Get("wait"); text != "" {
		if wait, err = time.ParseDuration(text); err != nil {
			return 0, 0, eris.Wrap(err, "wait")
		}
	}
	return after, min(wait, maxWait), nil
}
