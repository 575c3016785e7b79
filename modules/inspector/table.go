package inspector

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Table is one table of a document. Its methods record a problem for a value of the wrong type, unit or range and then
// report the value as absent, so that reading goes on.
type Table struct {
	report *Report
	place  Key // where the table stands in its parent; the root has none
	item   int // position in the array there, or noItem
	values *fields
	known  []string // keys that the schema has, as far as they were asked for
	broken bool     // the document has a syntax error, which explains every missing key
}

// noItem is the position of a table that is not an item of an array.
const noItem = -1

// Key names one key of a table. Its path is put together only when it is printed, since most keys have no problem.
type Key struct {
	table *Table
	name  string
}

// String returns the key path, or "" for the zero value.
func (k Key) String() string {
	if k.table == nil {
		return ""
	}
	return Join(k.table.path(), k.name)
}

func (t *Table) path() string {
	if t.item == noItem {
		return t.place.String()
	}
	return t.place.table.itemPath(t.place.name, t.item)
}

// Key returns the key of this table for a later problem that refers to it.
func (t *Table) Key(key string) Key { return Key{t, key} }

// Path returns the key path of the key in this table.
func (t *Table) Path(key string) string { return t.Key(key).String() }

// Has reports whether the key is present.
func (t *Table) Has(key string) bool {
	_, ok := t.values.get(key)
	return ok
}

// Keys returns the keys of a table whose keys are names chosen by the author, in order. Such a table has no unknown
// keys and needs no Close.
func (t *Table) Keys() []string { return slices.Sorted(slices.Values(t.values.names())) }

// AddProblem records a problem with the value of the key.
func (t *Table) AddProblem(key, cause, remedy string) { t.report.Add(t.Path(key), cause, remedy) }

// AddItemProblem records a problem with one item of the array under the key.
func (t *Table) AddItemProblem(key string, item int, cause, remedy string) {
	t.report.Add(t.itemPath(key, item), cause, remedy)
}

func (t *Table) itemPath(key string, item int) string {
	return fmt.Sprintf("%s[%d]", t.Path(key), item)
}

// Require records a problem for each absent key.
func (t *Table) Require(remedy string, keys ...string) {
	for _, key := range keys {
		if !t.Has(key) && !t.broken {
			t.AddProblem(key, "missing", remedy)
		}
	}
}

// RejectUnknownKeys records a problem for each key that no method has read: the document's schema does not know it. It ends the
// reading of the table.
func (t *Table) RejectUnknownKeys() {
	defer t.forget()
	var unknown []string
	for _, key := range t.values.names() {
		if !slices.Contains(t.known, key) {
			unknown = append(unknown, key)
		}
	}
	if len(unknown) == 0 {
		return
	}
	slices.Sort(unknown)
	slices.Sort(t.known)
	remedy := "remove it or use one of: " + strings.Join(slices.Compact(t.known), ", ")
	for _, key := range unknown {
		t.AddProblem(key, "unknown key", remedy)
	}
}

// forget keeps the memory of the known keys for the next table.
func (t *Table) forget() {
	t.report.spare = append(t.report.spare, t.known[:0])
	t.known = nil
}

func (t *Table) get(key string) (any, bool) {
	if n := len(t.report.spare); t.known == nil && n > 0 {
		t.known = t.report.spare[n-1]
		t.report.spare = t.report.spare[:n-1]
	}
	t.known = append(t.known, key)
	return t.values.get(key)
}

func (t *Table) wrongType(key string, v any, remedy string) {
	t.AddProblem(key, fmt.Sprintf("wrong type or unit (%s)", describe(v)), remedy)
}

func describe(v any) string {
	switch v := v.(type) {
	case string:
		return strconv.Quote(v)
	case *fields:
		return "a table"
	case *list:
		return "an array"
	default:
		return fmt.Sprint(v)
	}
}

// Text returns a string that is not empty.
func (t *Table) Text(key string) (string, bool) {
	v, ok := t.get(key)
	if !ok {
		return "", false
	}
	s, ok := v.(string)
	if !ok {
		t.wrongType(key, v, "write a string in quotes")
		return "", false
	}
	if s == "" {
		t.AddProblem(key, "empty", "write a value or remove the key")
		return "", false
	}
	return s, true
}

// Secret returns a string like Text, but its problems never repeat the value.
func (t *Table) Secret(key string) (string, bool) {
	v, ok := t.get(key)
	if !ok {
		return "", false
	}
	s, ok := v.(string)
	if !ok || s == "" {
		t.AddProblem(key, "wrong type or empty", "write a string in quotes")
		return "", false
	}
	return s, true
}

// Choice returns a string that is one of the choices.
func (t *Table) Choice(key string, choices ...string) (string, bool) {
	s, ok := t.Text(key)
	if ok && !slices.Contains(choices, s) {
		t.AddProblem(key, fmt.Sprintf("unknown value %q", s), "use one of: "+strings.Join(choices, ", "))
		return "", false
	}
	return s, ok
}

// Integer returns a whole number between low and high.
func (t *Table) Integer(key string, low, high int64) (int64, bool) {
	v, ok := t.get(key)
	if !ok {
		return 0, false
	}
	n, ok := v.(int64)
	if !ok {
		t.wrongType(key, v, "write a whole number without quotes or a unit")
		return 0, false
	}
	if n < low || n > high {
		t.AddProblem(key, fmt.Sprintf("%d is out of range", n), fmt.Sprintf("use a number from %d to %d", low, high))
		return 0, false
	}
	return n, true
}

// Number returns a number between low and high; whole numbers are accepted.
func (t *Table) Number(key string, low, high float64) (float64, bool) {
	v, ok := t.get(key)
	if !ok {
		return 0, false
	}
	var n float64
	switch v := v.(type) {
	case float64:
		n = v
	case int64:
		n = float64(v)
	default:
		t.wrongType(key, v, "write a number such as 0.2, without quotes or a unit")
		return 0, false
	}
	if !(n >= low && n <= high) { // the negated form also rejects NaN
		t.AddProblem(key, fmt.Sprintf("%v is out of range", n), fmt.Sprintf("use a number from %v to %v", low, high))
		return 0, false
	}
	return n, true
}

// Duration returns a duration between low and high, written as a string with a unit.
func (t *Table) Duration(key string, low, high time.Duration) (time.Duration, bool) {
	v, ok := t.get(key)
	if !ok {
		return 0, false
	}
	const remedy = `write a string with a unit, such as "250ms" or "10s"`
	s, ok := v.(string)
	if !ok {
		t.wrongType(key, v, remedy)
		return 0, false
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		t.wrongType(key, v, remedy)
		return 0, false
	}
	if d < low || d > high {
		t.AddProblem(key, fmt.Sprintf("%s is out of range", d), fmt.Sprintf("use a duration from %s to %s", low, high))
		return 0, false
	}
	return d, true
}

// AddrPort returns a concrete IP address with a port; IPv4 addresses in IPv6 form are unmapped.
func (t *Table) AddrPort(key string) (netip.AddrPort, bool) {
	a, ok := t.ListenAddrPort(key)
	if ok && (a.Addr().IsUnspecified() || a.Port() == 0) {
		t.AddProblem(key, fmt.Sprintf("%s names no single address", a), "write the concrete IP address and a port above 0")
		return netip.AddrPort{}, false
	}
	return a, ok
}

// ListenAddrPort returns an IP address with a port; the unspecified address and port 0 are accepted.
func (t *Table) ListenAddrPort(key string) (netip.AddrPort, bool) {
	s, ok := t.Text(key)
	if !ok {
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Addr().Zone() != "" {
		t.AddProblem(key, fmt.Sprintf("%q is not an address", s), `write an IP address and a port, such as "10.0.0.1:7000" or "[fd00::1]:7000"`)
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), true
}

// Addr returns a concrete IP address without a port.
func (t *Table) Addr(key string) (netip.Addr, bool) {
	s, ok := t.Text(key)
	if !ok {
		return netip.Addr{}, false
	}
	a, err := netip.ParseAddr(s)
	if err != nil || a.Zone() != "" || a.IsUnspecified() {
		t.AddProblem(key, fmt.Sprintf("%q is not a concrete IP address", s), `write an IP address without a port, such as "10.0.0.1"`)
		return netip.Addr{}, false
	}
	return a.Unmap(), true
}

// Texts returns an array of strings that are not empty.
func (t *Table) Texts(key string) ([]string, bool) {
	v, ok := t.get(key)
	if !ok {
		return nil, false
	}
	array, ok := v.(*list)
	if !ok {
		t.wrongType(key, v, `write an array of strings, such as ["a", "b"]`)
		return nil, false
	}
	texts := make([]string, 0, len(array.items))
	for i, item := range array.items {
		s, ok := item.(string)
		if !ok || s == "" {
			t.AddItemProblem(key, i, fmt.Sprintf("wrong type or empty (%s)", describe(item)), "write a string in quotes")
			continue
		}
		texts = append(texts, s)
	}
	return texts, true
}

// Table returns the table under the key; an absent or invalid one is empty.
func (t *Table) Table(key string) *Table {
	v, ok := t.get(key)
	table, isTable := v.(*fields)
	if ok && !isTable {
		t.wrongType(key, v, fmt.Sprintf("write a table, [%s]", t.Path(key)))
	}
	return t.child(key, noItem, table)
}

// Tables returns the tables of the array under the key.
func (t *Table) Tables(key string) []*Table {
	v, ok := t.get(key)
	if !ok {
		return nil
	}
	array, ok := v.(*list)
	if !ok {
		t.wrongType(key, v, fmt.Sprintf("write an array of tables, [[%s]] or %s = [{ … }]", t.Path(key), key))
		return nil
	}
	tables := make([]*Table, 0, len(array.items))
	for i, item := range array.items {
		table, ok := item.(*fields)
		if !ok {
			t.AddItemProblem(key, i, fmt.Sprintf("wrong type (%s)", describe(item)), "write a table, { … }")
			continue
		}
		tables = append(tables, t.child(key, i, table))
	}
	return tables
}

func (t *Table) child(key string, item int, values *fields) *Table {
	return &Table{report: t.report, place: t.Key(key), item: item, values: values, broken: t.broken}
}
