package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/services/explainer"
)

// defaultMargin covers the time after which the entry of a dead backend server expires, so that its state change is included.
const defaultMargin = 5 * time.Second

// explainOptions holds the arguments of explain.
type explainOptions struct {
	files        []string
	flow, server string
	from, to     string
	margin       time.Duration
	output       output
}

func newExplain() *command {
	o := &explainOptions{margin: defaultMargin}
	flags := newSubcommand("explain", "Print a timeline of a flow or a backend server from the log lines of daemons.",
		"explain --flow 100.64.0.7:40001 --log front-1.log --log front-2.log")
	flags.StringSlice(&o.files, "l", "log", "File with log lines; can be repeated. Without it, standard input.")
	flags.String(&o.flow, "f", "flow", "Part of the name CALLER>SERVICE of the flow, such as the address and port of the caller.")
	flags.String(&o.server, "s", "server", "Hexadecimal id of a backend server.")
	flags.String(&o.from, "", "from", "Earliest time of a decision, such as 2026-12-04T05:00:00Z.")
	flags.String(&o.to, "", "to", "Latest time of a decision.")
	flags.Duration(&o.margin, "b", "before", "How long before the first and after the last decision state changes are included.")
	o.output.addFlags(flags)
	return &command{flags: flags, run: func(_ context.Context, out io.Writer) error { return explain(o, out) }}
}

func explain(o *explainOptions, out io.Writer) error {
	if err := o.output.validate(); err != nil {
		return err
	}
	if o.flow == "" && o.server == "" {
		return usageError("neither --flow nor --server: name the flow or the backend server to explain")
	}
	q := explainer.Query{Flow: o.flow, Server: o.server, Margin: o.margin}
	for _, t := range []struct {
		flag, text string
		target     *time.Duration
	}{{"--from", o.from, &q.From}, {"--to", o.to, &q.To}} {
		if t.text == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339, t.text)
		if err != nil {
			return usageError("%s %q is not a valid time: use one such as 2026-12-04T05:00:00Z", t.flag, t.text)
		}
		*t.target = time.Duration(at.UnixNano())
	}
	e := explainer.New()
	if len(o.files) == 0 {
		if err := e.Read(os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range o.files {
		if err := readLog(e, name); err != nil {
			return err
		}
	}
	timeline := e.Explain(q)
	if o.output == outputJSON {
		b, err := json.MarshalIndent(timelineToWire(timeline), "", "  ")
		return writeJSON(out, b, err)
	}
	return printTimeline(out, timeline)
}

func readLog(e *explainer.Explainer, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return usageError("%v: name a file with log lines", err)
	}
	defer func() { _ = f.Close() }() // read only: nothing can be lost
	return eris.Wrap(e.Read(f), name)
}

// wireLine is the JSON form of a log line.
type wireLine struct {
	Time    string            `json:"time"`
	VM      string            `json:"vm,omitempty"`
	Message string            `json:"message"`
	Fields  map[string]string `json:"fields"`
}

// wireTimeline is the JSON form of a timeline.
type wireTimeline struct {
	Decisions      []wireLine `json:"decisions"`
	StateChanges   []wireLine `json:"beliefs"`
	LinesRead      int        `json:"lines"`
	LinesMalformed int        `json:"bad-lines"`
}

func timelineToWire(t explainer.Timeline) wireTimeline {
	return wireTimeline{Decisions: linesToWire(t.Decisions), StateChanges: linesToWire(t.StateChanges), LinesRead: t.LinesRead, LinesMalformed: t.LinesMalformed}
}

func linesToWire(lines []explainer.Line) []wireLine {
	list := make([]wireLine, len(lines))
	for i, l := range lines {
		list[i] = wireLine{Time: formatTime(l.Time), VM: l.VM, Message: l.Message, Fields: l.Fields}
	}
	return list
}

func formatTime(t time.Duration) string {
	return time.Unix(0, int64(t)).UTC().Format("2006-01-02T15:04:05.000Z")
}

func printTimeline(out io.Writer, timeline explainer.Timeline) error {
	t := newTable(out)
	for _, section := range []struct {
		title string
		lines []explainer.Line
	}{{"DECISIONS", timeline.Decisions}, {"BELIEFS", timeline.StateChanges}} {
		t.row(section.title, "VM", "", "")
		for _, l := range section.lines {
			var fields []string
			for _, key := range slices.Sorted(maps.Keys(l.Fields)) {
				if key != "level" && key != "caller" {
					fields = append(fields, key+"="+l.Fields[key])
				}
			}
			t.row(formatTime(l.Time), l.VM, l.Message, strings.Join(fields, " "))
		}
		if len(section.lines) == 0 {
			t.row("none")
		}
		t.row()
	}
	t.row(fmt.Sprintf("%d lines read, %d of them malformed", timeline.LinesRead, timeline.LinesMalformed))
	return t.flush()
}
