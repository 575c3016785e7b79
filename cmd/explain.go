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

// defaultBefore covers the time in which the entry of a dead backend server lapses.
const defaultBefore = 5 * time.Second

// explainOptions are the arguments of explain.
type explainOptions struct {
	files        []string
	flow, server string
	from, to     string
	before       time.Duration
	output       output
}

func newExplain() *command {
	o := &explainOptions{before: defaultBefore}
	flags := newSubcommand("explain", "Tell the story of a flow or a backend server from the log lines of daemons.",
		"explain --flow 100.64.0.7:40001 --log front-1.log --log front-2.log")
	flags.StringSlice(&o.files, "l", "log", "File with log lines; may be given several times. Standard input without it.")
	flags.String(&o.flow, "f", "flow", "Part of the flow's name CALLER>SERVICE, such as the caller's address and port.")
	flags.String(&o.server, "s", "server", "Id of a backend server, in hexadecimal digits.")
	flags.String(&o.from, "", "from", "Earliest time of a decision, such as 2026-12-04T05:00:00Z.")
	flags.String(&o.to, "", "to", "Latest time of a decision.")
	flags.Duration(&o.before, "b", "before", "How far around the decisions changes of beliefs are told.")
	o.output.attach(flags)
	return &command{flags: flags, run: func(_ context.Context, out io.Writer) error { return explain(o, out) }}
}

func explain(o *explainOptions, out io.Writer) error {
	if err := o.output.check(); err != nil {
		return err
	}
	if o.flow == "" && o.server == "" {
		return usageError("neither --flow nor --server: name the flow or the backend server to explain")
	}
	q := explainer.Query{Flow: o.flow, Server: o.server, Margin: o.before}
	for _, t := range []struct {
		flag, text string
		to         *time.Duration
	}{{"--from", o.from, &q.From}, {"--to", o.to, &q.To}} {
		if t.text == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339, t.text)
		if err != nil {
			return usageError("%s %q is no time: write one such as 2026-12-04T05:00:00Z", t.flag, t.text)
		}
		*t.to = time.Duration(at.UnixNano())
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
	story := e.Explain(q)
	if o.output == outputJSON {
		b, err := json.MarshalIndent(storyToWire(story), "", "  ")
		return writeJSON(out, b, err)
	}
	return printStory(out, story)
}

func readLog(e *explainer.Explainer, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return usageError("%v: name a file with log lines", err)
	}
	defer func() { _ = f.Close() }() // it was only read
	return eris.Wrap(e.Read(f), name)
}

// wireLine is the JSON form of a log line.
type wireLine struct {
	Time    string            `json:"time"`
	VM      string            `json:"vm,omitempty"`
	Message string            `json:"message"`
	Fields  map[string]string `json:"fields"`
}

// wireStory is the JSON form of a story.
type wireStory struct {
	Decisions []wireLine `json:"decisions"`
	Beliefs   []wireLine `json:"beliefs"`
	Lines     int        `json:"lines"`
	BadLines  int        `json:"bad-lines"`
}

func storyToWire(s explainer.Timeline) wireStory {
	return wireStory{Decisions: linesToWire(s.Decisions), Beliefs: linesToWire(s.StateChanges), Lines: s.LinesRead, BadLines: s.LinesMalformed}
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

func printStory(out io.Writer, s explainer.Timeline) error {
	t := newTable(out)
	for _, part := range []struct {
		title string
		lines []explainer.Line
	}{{"DECISIONS", s.Decisions}, {"BELIEFS", s.StateChanges}} {
		t.row(part.title, "VM", "", "")
		for _, l := range part.lines {
			var fields []string
			for _, key := range slices.Sorted(maps.Keys(l.Fields)) {
				if key != "level" && key != "caller" {
					fields = append(fields, key+"="+l.Fields[key])
				}
			}
			t.row(formatTime(l.Time), l.VM, l.Message, strings.Join(fields, " "))
		}
		if len(part.lines) == 0 {
			t.row("none")
		}
		t.row()
	}
	t.row(fmt.Sprintf("%d lines read, %d not understood", s.LinesRead, s.LinesMalformed))
	return t.flush()
}
