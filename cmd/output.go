package cmd

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
)

// output is the value of the flag --output.
type output string

// The output formats.
const (
	outputText output = "text"
	outputJSON output = "json"
)

func (o *output) addFlags(s *flaggy.Subcommand) {
	*o = outputText
	s.String((*string)(o), "o", "output", "Output format: text or json.")
}

func (o *output) validate() error {
	if *o != outputText && *o != outputJSON {
		return usageError("unknown output format %q: use --output text or --output json", string(*o))
	}
	return nil
}

// writeJSON writes a JSON document and a newline. It returns err, the result of encoding the document, if that is not nil.
func writeJSON(out io.Writer, document []byte, err error) error {
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s\n", document)
	return eris.Wrap(err, "write the output")
}

// table writes rows with aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(out io.Writer) table { return table{tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)} }

// row adds a row. Write errors occur only in flush, because tabwriter buffers all rows.
func (t table) row(cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(t.w, "\t")
		}
		_, _ = fmt.Fprint(t.w, cell)
	}
	_, _ = fmt.Fprintln(t.w)
}

func (t table) flush() error { return eris.Wrap(t.w.Flush(), "write the output") }
