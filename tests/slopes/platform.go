package main

import (
	"net/http"
	"net/http/httptest"
	"path"
	"strconv"
	"sync"
	"time"
)

// fakePlatform is an HTTP server that serves documents like the platform and counts the calls.
type fakePlatform struct {
	mu             sync.Mutex
	documents      map[string]document
	changed        chan struct{} // closed at the next change of a document
	polls, watches int           // reads that are answered at once, and long polls
	server         *httptest.Server
}

type document struct {
	revision uint64
	content  []byte
}

// newFakePlatform starts a platform with an empty VM list and no settings.
func newFakePlatform() *fakePlatform {
	p := &fakePlatform{changed: make(chan struct{}), documents: map[string]document{"vms": {1, []byte(`{"vms":[]}`)}}}
	p.server = httptest.NewServer(p)
	return p
}

func (p *fakePlatform) setSettings(revision uint64, content []byte) {
	p.setDocument("settings", document{revision, content})
}

func (p *fakePlatform) setDocument(name string, d document) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.documents[name] = d
	close(p.changed)
	p.changed = make(chan struct{})
}

// callCounts returns the polls and watches so far.
func (p *fakePlatform) callCounts() (polls, watches int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.polls, p.watches
}

// ServeHTTP answers a conditional read of a document. If the document has not changed, it holds the answer back until a change,
// at most for the requested time.
func (p *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	name := path.Base(r.URL.Path)
	p.mu.Lock()
	if wait > 0 {
		p.watches++
	} else {
		p.polls++
	}
	for end := time.Now().Add(wait); p.documents[name].revision == after && time.Now().Before(end) && r.Context().Err() == nil; {
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Until(end)):
		}
		p.mu.Lock()
	}
	d := p.documents[name]
	p.mu.Unlock()
	switch d.revision {
	case 0:
		w.WriteHeader(http.StatusNotFound)
	case after:
		w.WriteHeader(http.StatusNotModified)
	default:
		w.Header().Set("X-Revision", strconv.FormatUint(d.revision, 10))
		_, _ = w.Write(d.content)
	}
}
