// Package explainer tells the story of a flow from the log lines of the daemons: the decisions about it, and what the
// daemons believed of the backend servers and routes that it touched.
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

// maxLine bounds a log line.
const maxLine = 1 << 20

// Line is one log line.
type Line struct {
	Time    time.Duration // since the Unix epoch
	VM      string        // "" when the line does not tell
	Message string
	// Fields are the further fields as text, in the order of their names.
	Fields map[string]string
}

// Query selects the story. Empty fields match everything.
type Query struct {
	Flow   string // a part of "caller>service", such as the caller's address and port
	Server string // id of a backend server
	// From and To bound the time.
	From, To time.Duration
	// Margin is how far beliefs from before the first decision are told.
	Margin time.Duration
}

// Timeline is what the lines tell.
type Timeline struct {
	Decisions []Line
	// StateChanges are the changes of what the daemons believed of the routes and backend servers of the decisions.
	StateChanges []Line
	// LinesRead and LinesMalformed are the numbers of lines read and of those that could not be understood.
	LinesRead, LinesMalformed int
}

// Explainer reads log lines. It is not safe for concurrent use.
type Explainer struct {
	lines []Line
	read  int
	bad   int
}

// New returns an Explainer that has read nothing.
func New() *Explainer { return &Explainer{} }

// Read takes the lines of a log. Text before the JSON object, as log collectors add it, names the source.
func (e *Explainer) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	for scanner.Scan() {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		e.read++
		line, ok := parse(scanner.Bytes())
		if !ok {
			e.bad++
			continue
		}
		e.lines = append(e.lines, line)
	}
	return eris.Wrap(scanner.Err(), "read the log")
}

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

// marshal returns the JSON of a value that was decoded from JSON.
func marshal(v any) []byte {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if encoder.Encode(v) != nil {
		return nil
	}
	return bytes.TrimSpace(b.Bytes())
}

// Explain returns the story that the query selects, in the order of time.
func (e *Explainer) Explain(q Query) Timeline {
	s := Timeline{LinesRead: e.read, LinesMalformed: e.bad}
	slices.SortStableFunc(e.lines, func(a, b Line) int { return int(min(max(a.Time-b.Time, -1), 1)) })
	servers, services, vms := map[string]bool{}, map[string]bool{}, map[string]bool{}
	if q.Server != "" {
		servers[q.Server] = true
	}
	for _, l := range e.lines {
		if l.Fields["flow"] == "" || !q.within(l.Time, 0) || !strings.Contains(l.Fields["flow"], q.Flow) {
			continue
		}
		if q.Server != "" && l.Fields["server"] != q.Server {
			continue
		}
		s.Decisions = append(s.Decisions, l)
		vms[l.VM] = true
		if server := l.Fields["server"]; server != "" {
			servers[server] = true
		}
		if _, service, ok := strings.Cut(l.Fields["flow"], ">"); ok {
			services[service] = true
		}
	}
	if len(s.Decisions) == 0 && q.Server == "" {
		return s
	}
	from, to := q.From, q.To
	if len(s.Decisions) > 0 {
		from, to = s.Decisions[0].Time, s.Decisions[len(s.Decisions)-1].Time
	}
	for _, l := range e.lines {
		if l.Fields["flow"] != "" || (Query{From: from, To: to}).outside(l.Time, q.Margin) {
			continue
		}
		server, address := l.Fields["server"], l.Fields["address"]
		if servers[server] || services[address] || general(l.Message) && vms[l.VM] {
			s.StateChanges = append(s.StateChanges, l)
		}
	}
	return s
}

// general reports whether a line concerns all flows of its daemon.
func general(message string) bool {
	switch message {
	case "daemon starts", "daemon is ready", "daemon stops", "daemon leaves", "daemon ends", "configuration in force", "platform regained",
		"reader changed", "view fresh again", "changed settings are in force", "member changed", "lines joined":
		return true
	}
	// These lines go on with what follows from them.
	return strings.HasPrefix(message, "platform lost") || strings.HasPrefix(message, "view too old")
}

func (q Query) within(t, before time.Duration) bool { return !q.outside(t, before) }

func (q Query) outside(t, before time.Duration) bool {
	return q.From > 0 && t < q.From-before || q.To > 0 && t > q.To+before
}
