package runner

import (
	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/follower"
	"github.com/bluebelldyke/bluebelldyke/internal/direct/loader"
	"github.com/bluebelldyke/bluebelldyke/internal/direct/summarizer"
	"github.com/bluebelldyke/bluebelldyke/internal/direct/transporter"
	"github.com/bluebelldyke/bluebelldyke/modules/recoverer"
	"github.com/bluebelldyke/bluebelldyke/routers/operator"
	"github.com/bluebelldyke/bluebelldyke/routers/peers"
	"github.com/bluebelldyke/bluebelldyke/services/auditor"
)

// newAuditor returns the audit trail, nil without an operator address, because nobody could read it.
func newAuditor(s loader.Settings) *auditor.Auditor {
	if !s.OperatorBind.IsValid() {
		return nil
	}
	return auditor.New(auditor.Config{})
}

// trail returns the audit trail as a dependency, nil if there is none: an interface with a nil pointer is not nil.
func trail(a *auditor.Auditor) interface{ Record(auditor.Entry) } {
	if a == nil {
		return nil
	}
	return a
}

func newSummarizer(s loader.Settings, process process, f *follower.Follower, t *transporter.Transporter, p *peers.Peers, audit *auditor.Auditor) *summarizer.Summarizer {
	return summarizer.New(summarizer.Config{
		Name: s.VMName, AvailabilityZone: s.AvailabilityZone, Incarnation: process.incarnation, Views: f, Traffic: t, Members: p, Audit: audit,
	})
}

// newOperator returns the server of the operator address, nil if the settings name none.
func newOperator(s loader.Settings, summary *summarizer.Summarizer, logger *zap.Logger, contains *recoverer.Recoverer) *operator.Server {
	if !s.OperatorBind.IsValid() {
		return nil
	}
	return operator.New(operator.Config{Bind: s.OperatorBind, Status: summary, Audit: summary, Logger: logger, Recoverer: contains})
}
