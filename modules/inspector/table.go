package inspector

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Table is one table of a document. When a value has the wrong type or unit or is out of range, the methods that read it
// add a problem to the report and return the value as absent, so that validation continues.
type Table struct {
	report         *Report
	keyInParent    Key // key of the table in its parent; zero for the root
	itemIndex      int // index in the array under that key, or notInArray
	values         *tomlTable
	knownKeys      []string // keys read so far, which are the keys of the schema
	hasSyntaxError bool     // the document has a syntax error, so that missing keys are not reported
}

// notInArray is the itemIndex of a table that is not an item of an array.
const notInArray = -1

// Key is one key of a table. Its path is built only when it is printed, because most keys have no problem.
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
	if t.itemIndex == notInArray {
		return t.keyInParent.String()
	}
	return t.keyInParent.table.itemPath(t.keyInParent.name, t.itemIndex)
}

// Key returns the named key of this table, for problems reported later that refer to it.
func (t *Table) Key(key string) Key { return Key{t, key} }

// Path returns the key path of the key in this table.
func (t *Table) Path(key string) string { return t.Key(key).String() }

// Has reports whether the key is present. It does not count as reading the key.
func (t *Table) Has(key string) bool {
	_, ok := t.values.lookup(key)
	return ok
}

// Keys returns the sorted keys of a table whose keys are chosen by the author of the document. Such a table has no unknown
// keys, so RejectUnknownKeys need not be called.
func (t *Table) Keys() []string { return slices.Sorted(slices.Values(t.values.keysInOrder())) }

// AddProblem adds a problem with the value of the key to the report.
func (t *Table) AddProblem(key, cause, remedy string) { t.report.Add(t.Path(key), cause, remedy) }

// AddItemProblem adds a problem with one item of the array under the key to the report.
func (t *Table) AddItemProblem(key string, index int, cause, remedy string) {
	t.report.Add(t.itemPath(key, index), cause, remedy)
}

func (t *Table) itemPath(key string, index int) string {
	return fmt.Sprintf("%s[%d]", t.Path(key), index)
}

// Require adds a problem for each missing key, unless the document has a syntax error.
func (t *Table) Require(remedy string, keys ...string) {
	for _, key := range keys {
		if !t.Has(key) && !t.hasSyntaxError {
			t.AddProblem(key, "missing", remedy)
		}
	}
}

// RejectUnknownKeys adds a problem for each key that no method has read, since such a key is not part of the schema. It must
// be the last call on the table.
func (t *Table) RejectUnknownKeys() {
	defer t.recycleKnownKeys()
	var unknown []string
	for _, key := range t.values.keysInOrder() {
		if !slices.Contains(t.knownKeys, key) {
			unknown = append(unknown, key)
		}
	}
	if len(unknown) == 0 {
		return
	}
	slices.Sort(unknown)
	slices.Sort(t.knownKeys)
	remedy := "remove it or use one of: " + strings.Join(slices.Compact(t.knownKeys), ", ")
	for _, key := range unknown {
		t.AddProblem(key, "unknown key", remedy)
	}
}

// recycleKnownKeys returns the slice of the known keys to the report, for the next table.
func (t *Table) recycleKnownKeys() {
	t.report.freeKeyLists = append(t.report.freeKeyLists, t.knownKeys[:0])
	t.knownKeys = nil
}

// lookup returns the value of the key and records that the schema knows the key.
func (t *Table) lookup(key string) (any, bool) {
	if n := len(t.report.freeKeyLists); t.knownKeys == nil && n > 0 {
		t.knownKeys = t.report.freeKeyLists[n-1]
		t.report.freeKeyLists = t.report.freeKeyLists[:n-1]
	}
	t.knownKeys = append(t.knownKeys, key)
	return t.values.lookup(key)
}

func (t *Table) addTypeProblem(key string, v any, remedy string) {
	t.AddProblem(key, fmt.Sprintf("wrong type or unit (%s)", describe(v)), remedy)
}

// describe formats a value of the document for a problem; tables and arrays are not printed.
func describe(v any) string {
	switch v := v.(type) {
	case string:
		return strconv.Quote(v)
	case *tomlTable:
		return "a table"
	case *tomlArray:
		return "an array"
	default:
		return fmt.Sprint(v)
	}
}

// Text returns a non-empty string.
func (t *Table) Text(key string) (string, bool) {
	v, ok := t.lookup(key)
	if !ok {
		return "", false
	}
	s, ok := v.(string)
	if !ok {
		t.addTypeProblem(key, v, "write a string in quotes")
		return "", false
	}
	if s == "" {
		t.AddProblem(key, "empty", "write a value or remove the key")
		return "", false
	}
	return s, true
}

// Secret returns a non-empty string like Text, but its problems do not contain the value.
func (t *Table) Secret(key string) (string, bool) {
	v, ok := t.lookup(key)
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

// Integer returns an integer from low to high.
func (t *Table) Integer(key string, low, high int64) (int64, bool) {
	v, ok := t.lookup(key)
	if !ok {
		return 0, false
	}
	n, ok := v.(int64)
	if !ok {
		t.addTypeProblem(key, v, "write an integer without quotes or a unit")
		return 0, false
	}
	if n < low || n > high {
		t.AddProblem(key, fmt.Sprintf("%d is out of range", n), fmt.Sprintf("use a number from %d to %d", low, high))
		return 0, false
	}
	return n, true
}

// Boolean returns the boolean at key.
func (t *Table) Boolean(key string) (bool, bool) {
	v, ok := t.lookup(key)
	if !ok {
		return false, false
	}
	b, ok := v.(bool)
	if !ok {
		t.addTypeProblem(key, v, "write true or false")
		return false, false
	}
	return b, true
}

// Number returns a number from low to high; integers are accepted.
func (t *Table) Number(key string, low, high float64) (float64, bool) {
	v, ok := t.lookup(key)
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
		t.addTypeProblem(key, v, "write a number such as 0.2, without quotes or a unit")
		return 0, false
	}
	if !(n >= low && n <= high) { // the negated condition also rejects NaN
		t.AddProblem(key, fmt.Sprintf("%v is out of range", n), fmt.Sprintf("use a number from %v to %v", low, high))
		return 0, false
	}
	return n, true
}

// Duration returns a duration from low to high, written as a string with a unit.
func (t *Table) Duration(key string, low, high time.Duration) (time.Duration, bool) {
	v, ok := t.lookup(key)
	if !ok {
		return 0, false
	}
	const remedy = `write a string with a unit, such as "250ms" or "10s"`
	s, ok := v.(string)
	if !ok {
		t.addTypeProblem(key, v, remedy)
		return 0, false
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		t.addTypeProblem(key, v, remedy)
		return 0, false
	}
	if d < low || d > high {
		t.AddProblem(key, fmt.Sprintf("%s is out of range", d), fmt.Sprintf("use a duration from %s to %s", low, high))
		return 0, false
	}
	return d, true
}

// AddrPort returns an IP address and a port, neither of them unspecified. IPv4-mapped IPv6 addresses are returned as IPv4.
func (t *Table) AddrPort(key string) (netip.AddrPort, bool) {
	a, ok := t.ListenAddrPort(key)
	if ok && (a.Addr().IsUnspecified() || a.Port() == 0) {
		t.AddProblem(key, fmt.Sprintf("%s names no single address", a), "write a concrete IP address and a port above 0")
		return netip.AddrPort{}, false
	}
	return a, ok
}

// ListenAddrPort returns an IP address and a port like AddrPort, but also accepts the unspecified address and port 0.
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

// Addr returns an IP address without a port. It must not be the unspecified address.
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

// Texts returns the strings of an array. Empty strings and items of other types are reported and left out.
func (t *Table) Texts(key string) ([]string, bool) {
	v, ok := t.lookup(key)
	if !ok {
		return nil, false
	}
	array, ok := v.(*tomlArray)
	if !ok {
		t.addTypeProblem(key, v, `write an array of strings, such as ["a", "b"]`)
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

// Table returns the table under the key, or an empty table if it is absent or invalid.
func (t *Table) Table(key string) *Table {
	v, ok := t.lookup(key)
	table, isTable := v.(*tomlTable)
	if ok && !isTable {
		t.addTypeProblem(key, v, fmt.Sprintf("write a table, [%s]", t.Path(key)))
	}
	return t.newChild(key, notInArray, table)
}

// Tables returns the tables of the array under the key. Items of other types are reported and left out.
func (t *Table) Tables(key string) []*Table {
	v, ok := t.lookup(key)
	if !ok {
		return nil
	}
	array, ok := v.(*tomlArray)
	if !ok {
		t.addTypeProblem(key, v, fmt.Sprintf("write an array of tables, [[%s]] or %s = [{ … }]", t.Path(key), key))
		return nil
	}
	tables := make([]*Table, 0, len(array.items))
	for i, item := range array.items {
		table, ok := item.(*tomlTable)
		if !ok {
			t.AddItemProblem(key, i, fmt.Sprintf("wrong type (%s)", describe(item)), "write a table, { … }")
			continue
		}
		tables = append(tables, t.newChild(key, i, table))
	}
	return tables
}

// newChild returns the table with these values under the key, or under the item of the array there.
func (t *Table) newChild(key string, itemIndex int, values *tomlTable) *Table {
	return &Table{report: t.report, keyInParent: t.Key(key), itemIndex: itemIndex, values: values, hasSyntaxError: t.hasSyntaxError}
}
