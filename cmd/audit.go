package cmd

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/bluebelldyke/bluebelldyke/routers/operator"
	"github.com/bluebelldyke/bluebelldyke/services/auditor"
)

const defaultAuditEntries = 20

func newAudit() *command {
	q, newest := &queryOptions{}, defaultAuditEntries
	flags := newSubcommand("audit", "Print the newest document revisions that a daemon has applied or refused.", "audit --newest 50")
	q.addFlags(flags)
	flags.Int(&newest, "n", "newest", "Number of entries.")
	return &command{flags: flags, run: func(ctx context.Context, out io.Writer) error {
		if newest < 1 || newest > operator.MaxAuditEntries {
			return usageError("--newest %d is out of range: use a number from 1 to %d", newest, operator.MaxAuditEntries)
		}
		return q.run(ctx, func(ctx context.Context, c *operator.Client) error {
			entries, err := c.Audit(ctx, newest)
			if err != nil {
				return err
			}
			if q.output == outputJSON {
				b, err := operator.EncodeAudit(entries)
				return writeJSON(out, b, err)
			}
			return printAudit(out, entries)
		})
	}}
}

func printAudit(out io.Writer, entries []auditor.Entry) error {
	t := newTable(out)
	t.row("TIME", "DOCUMENT", "REVISION", "SOURCE", "OUTCOME", "CAUSE")
	for _, e := range entries {
		t.row(e.Time.UTC().Format(time.RFC3339), e.Document, e.Revision, e.Source, e.Outcome, strings.ReplaceAll(e.Cause, "\n", "; "))
	}
	return t.flush()
}
