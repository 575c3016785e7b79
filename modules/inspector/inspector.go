// Package inspector validates TOML documents strictly and reports all problems of a document instead of stopping at the
// first. Each problem names the key path and the remedy; the error names the file.
package inspector

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// Problem is one error in a document.
type Problem struct {
	Key    string // key path, for example places.souillac.slots
	Cause  string
	Remedy string
}

// String formats the problem as one line.
func (p Problem) String() string {
	if p.Key == "" {
		return p.Cause + ": " + p.Remedy
	}
	return p.Key + ": " + p.Cause + ": " + p.Remedy
}

// ErrInvalid is returned for an invalid document and lists all of its problems.
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
	file         string
	problems     []Problem
	freeKeyLists [][]string // slices of finished tables, reused for the known keys of later tables
}

// NewReport returns an empty Report for the named file.
func NewReport(file string) *Report { return &Report{file: file} }

// Add adds a problem to the report.
func (r *Report) Add(key, cause, remedy string) {
	r.problems = append(r.problems, Problem{Key: key, Cause: cause, Remedy: remedy})
}

// Err returns an ErrInvalid with all problems added, or nil if there are none.
func (r *Report) Err() error {
	if len(r.problems) == 0 {
		return nil
	}
	return &ErrInvalid{File: r.file, Problems: r.problems}
}

// Parse parses the TOML content and returns its root table. After a syntax error, which is added to the report, the root
// table is empty.
func Parse(r *Report, content []byte) *Table {
	values, err := readDocument(content)
	if err == nil {
		return &Table{report: r, itemIndex: notInArray, values: values}
	}
	// go-toml decodes the invalid content again, because its errors contain the line and column.
	if libraryErr := toml.Unmarshal(content, &map[string]any{}); libraryErr != nil {
		err = libraryErr
	}
	key, cause := "", err.Error()
	var decodeErr *toml.DecodeError
	if eris.As(err, &decodeErr) {
		row, column := decodeErr.Position()
		key = strings.Join(decodeErr.Key(), ".")
		cause = fmt.Sprintf("line %d, column %d: %s", row, column, strings.TrimPrefix(decodeErr.Error(), "toml: "))
	}
	r.Add(key, cause, "correct the TOML syntax at this position")
	return &Table{report: r, itemIndex: notInArray, hasSyntaxError: true}
}

// Join appends a key to a key path. The key is quoted unless it is a bare key in the sense of TOML.
func Join(path, key string) string {
	if !isBareKey(key) {
		key = strconv.Quote(key)
	}
	if path == "" {
		return key
	}
	return path + "." + key
}

func isBareKey(key string) bool {
	for _, c := range key {
		if !isBareKeyRune(c) {
			return false
		}
	}
	return key != ""
}

func isBareKeyRune(c rune) bool {
	return c == '-' || c == '_' || '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
}
