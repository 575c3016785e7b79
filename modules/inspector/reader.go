package inspector

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/rotisserie/eris"
)

// indexThreshold is the largest number of keys that a table searches linearly; larger tables get a map. Most tables are
// smaller, and a map costs about 300 bytes each.
const indexThreshold = 8

// tableKind is the syntax that defined a table. By the rules of TOML it decides what may add keys to the table later.
type tableKind uint8

const (
	implicitTable tableKind = iota // parent of a table with a [header]; its own header may still follow
	headerTable                    // defined by a [header] or as an item of a [[header]]
	dottedTable                    // defined by a dotted key; only dotted keys and headers of its subtables add to it
	inlineTable                    // written as { … }; nothing adds to it
)

// tomlTable is a TOML table that keeps the order of the document. A value is a string, bool, int64, float64, *tomlArray,
// *tomlTable, or a date or time type of go-toml.
type tomlTable struct {
	keys   []string
	values []any
	index  map[string]int // position of each key; nil up to indexThreshold keys
	kind   tableKind
}

// tomlArray is a TOML array. Only an array of tables that [[header]] defines can get more items later.
type tomlArray struct {
	items       []any
	fromHeaders bool
}

// lookup returns the value of the key. A nil table has no keys.
func (t *tomlTable) lookup(key string) (any, bool) {
	if t == nil {
		return nil, false
	}
	if t.index != nil {
		i, ok := t.index[key]
		if !ok {
			return nil, false
		}
		return t.values[i], true
	}
	i := slices.Index(t.keys, key)
	if i < 0 {
		return nil, false
	}
	return t.values[i], true
}

// keysInOrder returns the keys in document order. A nil table has none.
func (t *tomlTable) keysInOrder() []string {
	if t == nil {
		return nil
	}
	return t.keys
}

// add adds a key that the table does not have yet.
func (t *tomlTable) add(key string, value any) {
	t.keys = append(t.keys, key)
	t.values = append(t.values, value)
	switch {
	case t.index != nil:
		t.index[key] = len(t.keys) - 1
	case len(t.keys) > indexThreshold:
		t.index = make(map[string]int, 2*len(t.keys))
		for i, k := range t.keys {
			t.index[k] = i
		}
	}
}

// reader builds tables from the expressions that go-toml's parser returns. It replaces go-toml's decoder, whose check for
// duplicate keys searches all keys of the document for each key, so that its running time is quadratic in the number of
// tables.
type reader struct {
	parser       unstable.Parser
	internedKeys map[string]string // keys read so far; equal keys share one string
}

// readDocument parses the content and returns the root table. Its errors contain no line or column.
func readDocument(content []byte) (*tomlTable, error) {
	r := &reader{internedKeys: map[string]string{}}
	r.parser.Reset(content)
	root := &tomlTable{kind: headerTable}
	current := root
	for r.parser.NextExpression() {
		var err error
		switch e := r.parser.Expression(); e.Kind {
		case unstable.Table:
			current, err = r.defineTable(root, e.Key())
		case unstable.ArrayTable:
			current, err = r.appendArrayTable(root, e.Key())
		default:
			err = r.setKeyValue(current, e)
		}
		if err != nil {
			return nil, err
		}
	}
	return root, r.parser.Error()
}

func (r *reader) internKey(data []byte) string {
	if name, ok := r.internedKeys[string(data)]; ok {
		return name
	}
	name := string(data)
	r.internedKeys[name] = name
	return name
}

func errDuplicateKey(key string) error { return eris.Errorf("key %s is already defined", key) }

// defineTable returns the table that a [header] defines. It fails if the table is already defined.
func (r *reader) defineTable(root *tomlTable, key unstable.Iterator) (*tomlTable, error) {
	parent, last, err := r.resolveParent(root, key)
	if err != nil {
		return nil, err
	}
	v, ok := parent.lookup(last)
	if !ok {
		t := &tomlTable{kind: headerTable}
		parent.add(last, t)
		return t, nil
	}
	t, ok := v.(*tomlTable)
	if !ok || t.kind != implicitTable {
		return nil, errDuplicateKey(last)
	}
	t.kind = headerTable
	return t, nil
}

// appendArrayTable appends a table to the array that a [[header]] names, and returns the new table.
func (r *reader) appendArrayTable(root *tomlTable, key unstable.Iterator) (*tomlTable, error) {
	parent, last, err := r.resolveParent(root, key)
	if err != nil {
		return nil, err
	}
	v, ok := parent.lookup(last)
	if !ok {
		v = &tomlArray{fromHeaders: true}
		parent.add(last, v)
	}
	a, ok := v.(*tomlArray)
	if !ok || !a.fromHeaders {
		return nil, errDuplicateKey(last)
	}
	t := &tomlTable{kind: headerTable}
	a.items = append(a.items, t)
	return t, nil
}

// resolveParent follows all parts of a header's key except the last one. It returns the table reached and the last part. In
// an array of tables that [[header]] defines, it follows the last item.
func (r *reader) resolveParent(t *tomlTable, key unstable.Iterator) (*tomlTable, string, error) {
	for key.Next() {
		name := r.internKey(key.Node().Data)
		if key.IsLast() {
			return t, name, nil
		}
		v, ok := t.lookup(name)
		if !ok {
			next := &tomlTable{kind: implicitTable}
			t.add(name, next)
			t = next
			continue
		}
		if a, ok := v.(*tomlArray); ok && a.fromHeaders {
			v = a.items[len(a.items)-1]
		}
		next, ok := v.(*tomlTable)
		if !ok || next.kind == inlineTable {
			return nil, "", errDuplicateKey(name)
		}
		t = next
	}
	return nil, "", eris.New("table header has no key")
}

// setKeyValue adds a key, which may be dotted, and its value to the table.
func (r *reader) setKeyValue(t *tomlTable, e *unstable.Node) error {
	for key := e.Key(); key.Next(); {
		name := r.internKey(key.Node().Data)
		v, ok := t.lookup(name)
		if key.IsLast() {
			if ok {
				return errDuplicateKey(name)
			}
			value, err := r.readValue(e.Value())
			if err != nil {
				return err
			}
			t.add(name, value)
			return nil
		}
		if !ok {
			v = &tomlTable{kind: dottedTable}
			t.add(name, v)
		}
		next, ok := v.(*tomlTable)
		if !ok || next.kind != dottedTable {
			return errDuplicateKey(name)
		}
		t = next
	}
	return eris.New("value has no key")
}

func (r *reader) readValue(n *unstable.Node) (any, error) {
	switch n.Kind {
	case unstable.String:
		return string(n.Data), nil
	case unstable.Bool:
		return n.Data[0] == 't', nil
	case unstable.Array:
		a := &tomlArray{items: make([]any, 0, countChildren(n))}
		for it := n.Children(); it.Next(); {
			item, err := r.readValue(it.Node())
			if err != nil {
				return nil, err
			}
			a.items = append(a.items, item)
		}
		return a, nil
	case unstable.InlineTable:
		count := countChildren(n)
		t := &tomlTable{kind: inlineTable, keys: make([]string, 0, count), values: make([]any, 0, count)}
		for it := n.Children(); it.Next(); {
			if err := r.setKeyValue(t, it.Node()); err != nil {
				return nil, err
			}
		}
		return t, nil
	default:
		return readScalar(n.Data)
	}
}

func countChildren(n *unstable.Node) int {
	count := 0
	for it := n.Children(); it.Next(); {
		count++
	}
	return count
}

// readScalar returns the value of a number, date or time. Plain decimal integers are parsed here; go-toml decodes all
// other forms.
func readScalar(text []byte) (any, error) {
	if len(text) > 0 && (text[0] != '0' || len(text) == 1) && isDecimal(text) {
		if n, err := strconv.ParseInt(string(text), 10, 64); err == nil {
			return n, nil
		}
	}
	var document map[string]any
	if err := toml.Unmarshal(fmt.Appendf(nil, "v = %s", text), &document); err != nil {
		return nil, err
	}
	return document["v"], nil
}

func isDecimal(text []byte) bool {
	for _, c := range text {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}
