package cmd

import (
	"encoding/json"
	"io"

	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/services/comparer"
)

// wireFinding is the JSON form of a finding of check --against.
type wireFinding struct {
	Kind   string `json:"kind"`
	Path   string `json:"path"`
	Cause  string `json:"cause"`
	Remedy string `json:"remedy,omitempty"`
}

// compare prints what the comparer finds about a valid tree. The files of place documents count for both trees.
func (o checkOptions) compare(next *settings.Tree, out io.Writer) error {
	inForceOptions := o
	inForceOptions.file = o.against
	inForce, _, err := inForceOptions.composeTree()
	if err != nil {
		return err
	}
	findings := comparer.Compare(inForce, next)
	if o.output == outputJSON {
		list := make([]wireFinding, 0, len(findings))
		for _, f := range findings {
			list = append(list, wireFinding{string(f.Kind), f.Path, f.Cause, f.Remedy})
		}
		b, err := json.MarshalIndent(map[string]any{"file": o.file, "against": o.against, "findings": list}, "", "  ")
		return writeJSON(out, b, err)
	}
	t := newTable(out)
	t.row(o.file + ": valid")
	if len(findings) == 0 {
		t.row("no difference from " + o.against)
		return t.flush()
	}
	t.row()
	t.row("KIND", "PATH", "CAUSE", "REMEDY")
	for _, f := range findings {
		t.row(f.Kind, f.Path, f.Cause, f.Remedy)
	}
	return t.flush()
}
