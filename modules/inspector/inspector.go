// Package inspector reads TOML documents strictly and lists every problem it finds instead of stopping at the first.
// Each problem names the key path and the remedy; the error names the file.
package inspector

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// Problem is one fault of a document.
type Problem struct {
	Key    string // key path, such as places.souillac.slots
	Cause  string
	Remedy string
}

// String returns the problem as one line.
func (p Problem) String() string {
	if p.Key == "" {
		return p.Cause + ": " + p.Remedy
	}
	return p.Key + ": " + p.Cause + ": " + p.Remedy
}

// ErrInvalid lists the problems of one document.
type ErrInvalid struct {
	File     string
	Problems []Problem
}

// Error returns one line for each problem.
func (e *ErrInvalid) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = e.File + ": " + p.String()
	}
	return strings.Join(lines, "\n")
}

// IsErrInvalid reports whether err holds an ErrInvalid.
func IsErrInvalid(err error) bool {
	var invalid *ErrInvalid
	return eris.As(err, &invalid)
}

// Report collects the problems of one document.
type Report struct {
	file     string
	problems []Problem
	spare    [][]string // memory for the known keys of tables, from tables that were closed
}

// NewReport returns an empty Report for the named file.
func NewReport(file string) *Report { return &Report{file: file} }

// Add records a problem.
func (r *Report) Add(key, cause, remedy string) {
	r.problems = append(r.problems, Problem{Key: key, Cause: cause, Remedy: remedy})
}

// Err returns an ErrInvalid with all recorded problems, or nil when there are none.
func (r *Report) Err() error {
	if len(r.problems) == 0 {
		return nil
	}
	return &ErrInvalid{File: r.file, Problems: r.problems}
}

// Parse parses the TOML content and returns its root table. A syntax error is recorded in the report, and the returned
// table is then empty.
func Parse(r *Report, content []byte) *Table {
	values, err := read(content)
	if err == nil {
		return &Table{report: r, item: noItem, values: values}
	}
	// The library's decoder reads the invalid content again, because its errors have a position.
	if positioned := toml.Unmarshal(content, &map[string]any{}); positioned != nil {
		err = positioned
	}
	key, cause := "", err.Error()
	var decode *toml.DecodeError
	if eris.As(err, &decode) {
		row, column := decode.Position()
		key = strings.Join(decode.Key(), ".")
		cause = fmt.Sprintf("line %d, column %d: %s", row, column, strings.TrimPrefix(decode.Error(), "toml: "))
	}
	r.Add(key, cause, "correct the TOML syntax there")
	return &Table{report: r, item: noItem, broken: true}
}

// Join appends a key to a key path and quotes the key when TOML requires it.
func Join(path, key string) string {
	if !isBare(key) {
		key = strconv.Quote(key)
	}
	if path == "" {
		return key
	}
	return path + "." + key
}

func isBare(key string) bool {
	for _, c := range key {
		if !isBareRune(c) {
			return false
		}
	}
	return key != ""
}

func isBareRune(c rune) bool {
	return c == '-' || c == '_' || '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
}
