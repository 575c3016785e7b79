package relayer

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/models/fleet"
	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/services/reviser"
)

const (
	// maxFindings bounds the audit entries about conflicts between documents that one view causes.
	maxFindings = 10
	// joinTries and joinPause bound how long a daemon that begins to follow a document asks its peers alone. The watchers
	// read it from the platform at once; without the delay all daemons of the fleet would read it there at the same time.
	joinTries = 4
	joinPause = 500 * time.Millisecond
)

// placeVMs is the VM list of a place.
type placeVMs struct {
	place string
	list  *fleet.List
}

func parseSettings(revision uint64, content []byte) (any, error) {
	return settings.Parse(SettingsDocument, revision, content)
}

func parseVMs(revision uint64, content []byte) (any, error) { return fleet.Parse(revision, content) }

// rootDocuments returns the documents that every daemon follows, by name.
func rootDocuments() []*document {
	root := newDocument(SettingsDocument, parseSettings)
	root.settings = true
	return []*document{root, newDocument(VMListDocument, parseVMs)}
}

// placeDocuments returns the two documents of a place.
func placeDocuments(place string) []*document {
	name := settings.DocumentOf(place)
	tree := newDocument(name, func(revision uint64, content []byte) (any, error) {
		return settings.ParsePlace(name, place, revision, content)
	})
	tree.settings = true
	return []*document{tree, newDocument(fleet.DocumentOf(place), func(revision uint64, content []byte) (any, error) {
		l, err := fleet.Parse(revision, content)
		return placeVMs{place, l}, err
	})}
}

// all returns the documents that are followed, by name.
func (r *Relayer) all() []*document {
	if list := r.documents.Load(); list != nil {
		return *list
	}
	return nil
}

// document returns a document that is followed, nil when there is none of the name.
func (r *Relayer) document(name string) *document {
	for _, d := range r.all() {
		if d.name == name {
			return d
		}
	}
	return nil
}

func (r *Relayer) documentByID(id uint32) *document {
	for _, d := range r.all() {
		if d.id == id {
			return d
		}
	}
	return nil
}

// combine takes an applied revision into the combination of documents and publishes the view. It returns the audit
// entries. The caller holds r.apply.
func (r *Relayer) combine(decision reviser.Decision, parsed any) []AuditEntry {
	switch parsed := parsed.(type) {
	case *settings.Tree:
		r.combiner.SetRoot(parsed)
	case *settings.PlaceDocument:
		r.combiner.SetPlaceDocument(parsed)
	case *fleet.List:
		r.combiner.SetRootVMList(parsed)
	case placeVMs:
		r.combiner.SetPlaceVMList(parsed.place, parsed.list)
	}
	r.refollow()
	entries := []AuditEntry{decision}
	missing := r.combiner.MissingDocuments()
	switch {
	case decision.Document == SettingsDocument && len(missing) > 0:
		r.waiting = &decision
		e := decision
		e.Outcome, e.Cause, e.RevisionInForce = reviser.Waiting, reviser.CauseMissingDocuments, r.rootInForce()
		e.Detail = fmt.Sprintf("publish %s, or take the places out of place-documents", strings.Join(missing, ", "))
		entries[0] = e
	case decision.Document == SettingsDocument:
		r.waiting = nil
	case r.waiting != nil && len(missing) == 0:
		e := *r.waiting
		e.Time, r.waiting = decision.Time, nil
		entries = append(entries, e)
	}
	return append(entries, r.publish()...)
}

func (r *Relayer) rootInForce() uint64 {
	if documents := r.combiner.DocumentsInForce(); len(documents) > 0 {
		return documents[0].Revision
	}
	return 0
}

// refollow follows the documents that the root documents name now, and releases the others. The caller holds r.apply.
func (r *Relayer) refollow() {
	inForce := r.combiner.DocumentsInForce()
	r.inForce.Store(&inForce)
	before := r.all()
	next := slices.Clone(before[:2]) // the root documents
	for _, place := range r.combiner.FollowedPlaces() {
		if r.places[place] == nil {
			r.places[place] = placeDocuments(place)
		}
		next = append(next, r.places[place]...)
	}
	if slices.Equal(before, next) {
		return
	}
	for _, d := range before {
		if !slices.Contains(next, d) {
			d.release()
		}
	}
	for _, d := range next {
		d.followed = true
	}
	r.documents.Store(&next)
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// publish delivers the view of the documents in force and returns audit entries about conflicts between them that are
// new. The caller holds r.apply.
func (r *Relayer) publish() []AuditEntry {
	if !r.ready.Load() {
		return nil
	}
	v, findings := r.combiner.View()
	if v == nil {
		return nil
	}
	select {
	case <-r.views:
	default:
	}
	r.views <- v
	var entries []AuditEntry
	for i, f := range findings {
		e := AuditEntry{
			Time: time.Now(), Document: f.Document, Revision: r.revisionInForce(f.Document), Source: r.c.Self.String(),
			Outcome: reviser.LeftOut, Cause: reviser.CauseDocumentConflict, Detail: f.Cause + ": " + f.Remedy,
		}
		e.RevisionInForce = e.Revision
		if i == maxFindings {
			e.Detail = fmt.Sprintf("%d more conflicts between documents: run bluebelldyke check with all place documents", len(findings)-i)
			return append(entries, e)
		}
		entries = append(entries, e)
	}
	return entries
}

func (r *Relayer) revisionInForce(name string) uint64 {
	for _, d := range r.combiner.DocumentsInForce() {
		if d.Name == name {
			return d.Revision
		}
	}
	return 0
}

// DocumentStatus tells what is held of a document. Held is higher than InForce while the newest root waits for a place
// document.
type DocumentStatus struct {
	Name                          string
	RevisionInForce, HeldRevision uint64
}

// Documents returns the documents that are followed, the root documents first.
func (r *Relayer) Documents() []DocumentStatus {
	var list []DocumentStatus
	inForce := r.inForce.Load()
	for _, d := range r.all() {
		held := d.revision()
		s := DocumentStatus{Name: d.name, HeldRevision: held, RevisionInForce: held}
		if d.settings {
			s.RevisionInForce = 0
			for _, f := range *inForce {
				if f.Name == d.name {
					s.RevisionInForce = f.Revision
				}
			}
		}
		list = append(list, s)
	}
	return list
}

// supervise runs the followers of all documents, and ends those of documents that are no longer followed.
func (r *Relayer) supervise(ctx context.Context, g *errgroup.Group) error {
	running := map[*document]context.CancelFunc{}
	for {
		followed := r.all()
		for _, d := range followed {
			if running[d] != nil {
				continue
			}
			following, cancel := context.WithCancel(ctx)
			running[d] = cancel
			g.Go(func() error { return r.follow(following, d) })
			g.Go(func() error { return r.pull(following, d) })
		}
		for d, cancel := range running {
			if !slices.Contains(followed, d) {
				cancel()
				delete(running, d)
			}
		}
		select {
		case <-ctx.Done():
			for _, cancel := range running {
				cancel()
			}
			return nil
		case <-r.changed:
		}
	}
}

// join asks the peers for the first revision of a document that this daemon has begun to follow.
func (r *Relayer) join(ctx context.Context, d *document) {
	for try := range joinTries {
		if d.revision() > 0 || r.IsWatcher(d.name) || try > 0 && !sleep(ctx, r.jittered(joinPause)) {
			return
		}
		r.askPeers(ctx, d)
	}
}
