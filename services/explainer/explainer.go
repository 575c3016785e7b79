// Package explainer reconstructs from the log lines of the daemons what happened to a flow: the decisions about its packets,
// and the state changes of the route and of the backend servers that it used, as the daemons saw them.
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// Line is one log line.
type Line struct {
	Time    time.Duration // since the Unix epoch
	VM      string        // the VM of the daemon, "" if unknown
	Message string
	// Fields holds the other fields of the line as text, by name.
	Fields map[string]string
}

// Query selects the lines of a timeline. Empty fields match everything.
type Query struct {
	Flow   string // a part of "caller>service", such as the caller's address and port
	Server string // id of a backend server
	// From and To bound the time of the decisions. If there are none, they bound the time of the state changes.
	From, To time.Duration
	// Margin is how long before the first decision and after the last one state changes are included.
	Margin time.Duration
}

// Timeline is the result of a Query, each list in the order of time.
type Timeline struct {
	// Decisions are the decisions of the daemons about packets of the selected flows.
	Decisions []Line
	// StateChanges are the changes that concern the routes, backend servers or daemons of the decisions.
	StateChanges []Line
	// LinesRead is the number of lines read, LinesMalformed that of the ones that are not log lines of a daemon.
	LinesRead, LinesMalformed int
}

// Explainer reads log lines and answers queries about them. It is not safe for concurrent use.
type Explainer struct {
	lines          []Line
	linesRead      int
	linesMalformed int
}

// New returns an Explainer without log lines.
func New() *Explainer { return &Explainer{} }

// Read adds the lines of a log. Log collectors may put text before the JSON object of a line; its last word is taken for the
// VM if the line does not name one.
func (e *Explainer) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		e.linesRead++
		line, ok := parse(scanner.Bytes())
		if !ok {
			e.linesMalformed++
			continue
		}
		e.lines = append(e.lines, line)
	}
	return eris.Wrap(scanner.Err(), "cannot read the log (a line may have up to 1 MiB)")
}

// parse returns the log line in b. It returns false if there is none, or if the line has no message or time.
func parse(b []byte) (Line, bool) {
	start := bytes.IndexByte(b, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	decoder := json.NewDecoder(bytes.NewReader(b[start:]))
	decoder.UseNumber()
	if decoder.Decode(&fields) != nil {
		return Line{}, false
	}
	l := Line{Fields: map[string]string{}}
	if prefix := strings.Fields(string(b[:start])); len(prefix) > 0 {
		l.VM = prefix[len(prefix)-1]
	}
	for key, value := range fields {
		text := strings.Trim(string(marshal(value)), `"`)
		switch key {
		case "ts":
			seconds, err := json.Number(text).Float64()
			if err != nil {
				return Line{}, false
			}
			l.Time = time.Duration(seconds * float64(time.Second))
		case "msg":
			l.Message = text
		case "vm":
			l.VM = text
		default:
			l.Fields[key] = text
		}
	}
	return l, l.Message != "" && l.Time > 0
}

// marshal returns the JSON text of a value that was decoded from JSON.
func marshal(v any) []byte {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if encoder.Encode(v) != nil {
		return nil
	}
	return bytes.TrimSpace(b.Bytes())
}

// Explain returns the timeline that the query selects.
func (e *Explainer) Explain(q Query) Timeline {
	timeline := Timeline{LinesRead: e.linesRead, LinesMalformed: e.linesMalformed}
	slices.SortStableFunc(e.lines, func(a, b Line) int { return int(min(max(a.Time-b.Time, -1), 1)) })
	servers, services, vms := map[string]bool{}, map[string]bool{}, map[string]bool{}
	if q.Server != "" {
		servers[q.Server] = true
	}
	// The first pass selects the decisions and collects the backend servers, services and VMs that they name.
	for _, l := range e.lines {
		if l.Fields["flow"] == "" || !q.within(l.Time, 0) || !strings.Contains(l.Fields["flow"], q.Flow) {
			continue
		}
		if q.Server != "" && l.Fields["server"] != q.Server {
			continue
		}
		timeline.Decisions = append(timeline.Decisions, l)
		vms[l.VM] = true
		if server := l.Fields["server"]; server != "" {
			servers[server] = true
		}
		if _, service, ok := strings.Cut(l.Fields["flow"], ">"); ok {
			services[service] = true
		}
	}
	if len(timeline.Decisions) == 0 && q.Server == "" {
		return timeline
	}
	from, to := q.From, q.To
	if len(timeline.Decisions) > 0 {
		from, to = timeline.Decisions[0].Time, timeline.Decisions[len(timeline.Decisions)-1].Time
	}
	// The second pass selects the state changes that concern them.
	for _, l := range e.lines {
		if l.Fields["flow"] != "" || (Query{From: from, To: to}).outside(l.Time, q.Margin) {
			continue
		}
		server, service := l.Fields["server"], l.Fields["address"]
		if servers[server] || services[service] || concernsAllFlows(l.Message) && vms[l.VM] {
			timeline.StateChanges = append(timeline.StateChanges, l)
		}
	}
	return timeline
}

// concernsAllFlows reports whether a line with the message concerns all flows of its daemon.
func concernsAllFlows(message string) bool {
	switch message {
	case "daemon starts", "daemon is ready", "daemon stops", "daemon leaves", "daemon ends", "configuration in force", "platform regained",
		"reader changed", "view fresh again", "changed settings are in force", "member changed", "lines joined",
		"evacuated availability zones", "admission control":
		return true
	}
	// The ends of these messages vary, because they name the consequences.
	return strings.HasPrefix(message, "platform lost") || strings.HasPrefix(message, "view too old") ||
		strings.HasPrefix(message, "platform's store was restored") || strings.HasPrefix(message, "platform answered with an older revision")
}

// within reports whether a time is in the time range of the query, as extended by outside.
func (q Query) within(t, margin time.Duration) bool { return !q.outside(t, margin) }

// outside reports whether a time is outside the time range of the query, extended by the margin on both sides.
func (q Query) outside(t, margin time.Duration) bool {
	return q.From > 0 && t < q.From-margin || q.To > 0 && t > q.To+margin
}
