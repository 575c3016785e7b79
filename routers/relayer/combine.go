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
	"github.com/bluebelldyke/bluebelldyke/models/view"
	"github.com/bluebelldyke/bluebelldyke/services/reviser"
)

const (
	// maxSkippedEntries limits the audit entries about skipped entries of a VM list.
	maxSkippedEntries = 10
	// maxConflictEntries limits the audit entries about conflicts between documents per view.
	maxConflictEntries = 10
	// firstPullAttempts and firstPullRetryDelay limit how long a daemon that begins to follow a document queries only its peers.
	// The watchers read the document from the platform at once. Without the delay all daemons of the fleet would read it there
	// at the same time.
	firstPullAttempts   = 4
	firstPullRetryDelay = 500 * time.Millisecond
)

// placeVMs is a parsed VM list with the place that it belongs to.
type placeVMs struct {
	place string
	list  *fleet.List
}

func parseSettings(revision uint64, content []byte) (any, error) {
	return settings.Parse(SettingsDocument, revision, content)
}

func parseVMs(revision uint64, content []byte) (any, error) { return fleet.Parse(revision, content) }

// newRootDocuments returns new root documents, which every daemon follows: the root settings document and the root VM list.
func newRootDocuments() []*document {
	root := newDocument(SettingsDocument, parseSettings)
	root.isSettings = true
	return []*document{root, newDocument(VMListDocument, parseVMs)}
}

// newPlaceDocuments returns new documents of a place: its place document and its VM list.
func newPlaceDocuments(place string) []*document {
	name := settings.PlaceDocumentName(place)
	tree := newDocument(name, func(revision uint64, content []byte) (any, error) {
		return settings.ParsePlaceDocument(name, place, revision, content)
	})
	tree.isSettings = true
	return []*document{tree, newDocument(fleet.PlaceDocumentName(place), func(revision uint64, content []byte) (any, error) {
		l, err := fleet.Parse(revision, content)
		return placeVMs{place, l}, err
	})}
}

// followedDocuments returns the documents that are followed, the root documents first.
func (r *Relayer) followedDocuments() []*document {
	if list := r.followed.Load(); list != nil {
		return *list
	}
	return nil
}

// documentByName returns the followed document with the name, or nil if there is none.
func (r *Relayer) documentByName(name string) *document {
	for _, d := range r.followedDocuments() {
		if d.name == name {
			return d
		}
	}
	return nil
}

// documentByID returns the followed document with the id, or nil if there is none.
func (r *Relayer) documentByID(id uint32) *document {
	for _, d := range r.followedDocuments() {
		if d.id == id {
			return d
		}
	}
	return nil
}

// updateCombination passes the parsed content of an applied revision to the combiner, updates the followed documents, and
// publishes the view. It returns the audit entries for the decision. The caller holds r.applyMu.
func (r *Relayer) updateCombination(decision reviser.Decision, parsed any) []AuditEntry {
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
	r.updateFollowed()
	entries := append([]AuditEntry{decision}, skippedEntries(decision, parsed)...)
	missing := r.combiner.MissingDocuments()
	switch {
	case decision.Document == SettingsDocument && len(missing) > 0:
		r.waitingRoot = &decision
		e := decision
		e.Outcome, e.Cause, e.RevisionInForce = reviser.Waiting, reviser.CauseMissingDocuments, r.rootRevisionInForce()
		e.Detail = fmt.Sprintf("publish %s, or take the places out of place-documents", strings.Join(missing, ", "))
		entries[0] = e
	case decision.Document == SettingsDocument:
		r.waitingRoot = nil
	case r.waitingRoot != nil && len(missing) == 0:
		e := *r.waitingRoot
		e.Time, r.waitingRoot = decision.Time, nil
		entries = append(entries, e)
	}
	return append(entries, r.publishView()...)
}

// skippedEntries returns audit entries for the problems of the skipped entries of a VM list.
func skippedEntries(decision reviser.Decision, parsed any) []AuditEntry {
	var list *fleet.List
	switch parsed := parsed.(type) {
	case *fleet.List:
		list = parsed
	case placeVMs:
		list = parsed.list
	default:
		return nil
	}
	var entries []AuditEntry
	for i, problem := range list.Skipped {
		e := decision
		e.Outcome, e.Cause, e.Detail = reviser.LeftOut, reviser.CauseInvalidEntry, problem.String()
		if i == maxSkippedEntries-1 && len(list.Skipped) > maxSkippedEntries {
			e.Detail = fmt.Sprintf("%d entries are skipped: correct the list on the platform", list.SkippedCount)
			return append(entries, e)
		}
		entries = append(entries, e)
	}
	return entries
}

// rootRevisionInForce returns the revision of the root settings document in force, or 0.
func (r *Relayer) rootRevisionInForce() uint64 {
	if documents := r.combiner.DocumentsInForce(); len(documents) > 0 {
		return documents[0].Revision
	}
	return 0
}

// updateFollowed follows the documents that the newest root and the root in force need, and releases the others. The caller
// holds r.applyMu.
func (r *Relayer) updateFollowed() {
	inForce := r.combiner.DocumentsInForce()
	r.settingsInForce.Store(&inForce)
	before := r.followedDocuments()
	next := slices.Clone(before[:2]) // the root documents
	for _, place := range r.combiner.FollowedPlaces() {
		if r.placeDocuments[place] == nil {
			r.placeDocuments[place] = newPlaceDocuments(place)
		}
		next = append(next, r.placeDocuments[place]...)
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
	r.followed.Store(&next)
	select {
	case r.followedChanged <- struct{}{}:
	default:
	}
}

// publishView delivers the view of the documents in force to Views. It returns audit entries for the evacuations that begin or
// end with it, and for the conflicts between these documents that the previous view did not have. The caller holds r.applyMu.
func (r *Relayer) publishView() []AuditEntry {
	if !r.canPublish.Load() {
		return nil
	}
	var v *view.View
	var conflicts []settings.Conflict
	// After a panic the former view stays in force, until a later revision of a document.
	if !r.cfg.Recoverer.Do("view", 0, func() { v, conflicts = r.combiner.View() }) || v == nil {
		return nil
	}
	select {
	case <-r.views:
	default:
	}
	r.views <- v
	entries := r.evacuationEntries(v)
	for i, conflict := range conflicts {
		e := AuditEntry{
			Time: time.Now(), Document: conflict.Document, Revision: r.revisionInForce(conflict.Document), Source: r.cfg.Self.String(),
			Outcome: reviser.LeftOut, Cause: reviser.CauseDocumentConflict, Detail: conflict.Cause + ": " + conflict.Remedy,
		}
		e.RevisionInForce = e.Revision
		if i == maxConflictEntries {
			e.Detail = fmt.Sprintf("%d more conflicts between documents: run bluebelldyke check with all place documents", len(conflicts)-i)
			return append(entries, e)
		}
		entries = append(entries, e)
	}
	return entries
}

// revisionInForce returns the revision of a settings document in force, or 0.
func (r *Relayer) revisionInForce(name string) uint64 {
	for _, d := range r.combiner.DocumentsInForce() {
		if d.Name == name {
			return d.Revision
		}
	}
	return 0
}

// DocumentStatus contains the revisions of a document. HeldRevision is higher than RevisionInForce while the newest root waits for
// missing place documents.
type DocumentStatus struct {
	Name                          string
	RevisionInForce, HeldRevision uint64
}

// Documents returns the status of the documents that are followed, the root documents first.
func (r *Relayer) Documents() []DocumentStatus {
	var list []DocumentStatus
	inForce := r.settingsInForce.Load()
	for _, d := range r.followedDocuments() {
		held := d.revision()
		s := DocumentStatus{Name: d.name, HeldRevision: held, RevisionInForce: held}
		if d.isSettings {
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

// runDocuments runs the goroutines that keep each followed document up to date, and ends those of documents that are no longer
// followed.
func (r *Relayer) runDocuments(ctx context.Context, g *errgroup.Group) error {
	running := map[*document]context.CancelFunc{}
	for {
		followed := r.followedDocuments()
		for _, d := range followed {
			if running[d] != nil {
				continue
			}
			documentCtx, cancel := context.WithCancel(ctx)
			running[d] = cancel
			g.Go(func() error { return r.readPlatform(documentCtx, d) })
			g.Go(func() error { return r.runPulls(documentCtx, d) })
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
		case <-r.followedChanged:
		}
	}
}

// pullFirstRevision pulls the first revision of a newly followed document from peers. It returns early when this daemon is a
// watcher of the document, which reads it from the platform.
func (r *Relayer) pullFirstRevision(ctx context.Context, d *document) {
	for attempt := range firstPullAttempts {
		if d.revision() > 0 || r.IsWatcher(d.name) || attempt > 0 && !sleep(ctx, r.jitter(firstPullRetryDelay)) {
			return
		}
		r.pullFromPeers(ctx, d)
	}
}
