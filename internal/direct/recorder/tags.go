package recorder

import (
	"slices"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
)

// maxLoggedIDs bounds the ids in a log line.
const maxLoggedIDs = 8

// LogSharedTags logs the backend servers that share a flow tag with another one, if they are others than before.
func (r *Recorder) LogSharedTags(ids []directory.ServerID) {
	if slices.Equal(ids, r.sharedTags) {
		return
	}
	r.sharedTags = ids
	if len(ids) == 0 {
		r.c.Logger.Info("no backend servers share flow tags any more", zap.Uint64("listing", r.view.backendList))
		return
	}
	var names []string
	for _, id := range ids[:min(len(ids), maxLoggedIDs)] {
		names = append(names, ServerName(id))
	}
	r.c.Logger.Warn("backend servers share flow tags: open flows get other tags, and packets whose tag may be of several of them are dropped",
		zap.Int("count", len(ids)), zap.Strings("servers", names), zap.Uint64("listing", r.view.backendList))
}
