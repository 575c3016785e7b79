package loader

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"unicode/utf16"
	"unicode/utf8"

	"github.com/bluebelldyke/bluebelldyke/modules/inspector"
)

// A template renders settings from values of the platform, which it cannot escape for TOML: it can only insert them as JSON. The file may also
// be read while it is written.

// readEnd checks that a file that announces an end has one, because a file that is cut off between two tables is valid otherwise.
func readEnd(root *inspector.Table) {
	if announced, _ := root.Boolean("requires-end"); announced && !root.Has("end") {
		root.AddProblem("end", "missing: the file is cut off", "write the whole file, with the table [end] as its last line")
	}
	root.Table("end").RejectUnknownKeys()
}

// readZoneTable reads the availability zones from the keys of a JSON object.
func readZoneTable(root *inspector.Table) []string {
	const key = "availability-zone-table"
	text, ok := root.Text(key)
	if !ok {
		return nil
	}
	var zones map[string]json.RawMessage
	if err := json.Unmarshal([]byte(text), &zones); err != nil {
		root.AddProblem(key, fmt.Sprintf("no JSON object: %v", err), `write one whose keys are the zones, such as '{"souillac": "mu-south"}'`)
		return nil
	}
	return slices.Sorted(maps.Keys(zones))
}

// readSeedList reads seeds from a JSON list. Those that are no addresses are ignored: the others suffice, and a daemon without seeds is found by
// those that have some.
func (s *Settings) readSeedList(t *inspector.Table) []netip.AddrPort {
	text, ok := t.Text("seed-list")
	if !ok || strings.TrimSpace(text) == "" {
		return nil
	}
	ignore := func(stated string) {
		s.Adjustments = append(s.Adjustments, Adjustment{Key: "peer.seed-list", Stated: stated, Used: "ignored"})
	}
	var list []json.RawMessage
	if json.Unmarshal([]byte(text), &list) != nil {
		ignore(text)
		return nil
	}
	var seeds []netip.AddrPort
	for _, entry := range list {
		var address string
		if json.Unmarshal(entry, &address) != nil {
			ignore(string(entry))
			continue
		}
		seed, err := netip.ParseAddrPort(address)
		if err != nil || !seed.Addr().Is4() || seed.Port() == 0 {
			ignore(address)
			continue
		}
		seeds = append(seeds, seed)
	}
	return seeds
}

// joinSurrogates replaces pairs of surrogates, as JSON may escape characters above U+FFFF, by the characters, and lone surrogates by the
// replacement character. TOML refuses both.
func joinSurrogates(content []byte) []byte {
	if !bytes.Contains(content, []byte(`\ud`)) && !bytes.Contains(content, []byte(`\uD`)) {
		return content
	}
	joined := make([]byte, 0, len(content))
	for i := 0; i < len(content); {
		switch r, ok := escapedRune(content[i:]); {
		case content[i] != '\\' || i+1 == len(content):
			joined = append(joined, content[i])
			i++
		case !ok || !utf16.IsSurrogate(r):
			joined = append(joined, content[i], content[i+1])
			i += 2
		default:
			i += 6
			low, _ := escapedRune(content[i:])
			if pair := utf16.DecodeRune(r, low); pair != '\uFFFD' {
				joined = utf8.AppendRune(joined, pair)
				i += 6
			} else {
				joined = append(joined, `\uFFFD`...)
			}
		}
	}
	return joined
}

// escapedRune returns the code unit of an escape such as \u00e9 at the start of b.
func escapedRune(b []byte) (rune, bool) {
	if len(b) < 6 || b[0] != '\\' || b[1] != 'u' {
		return 0, false
	}
	n, err := strconv.ParseUint(string(b[2:6]), 16, 16)
	return rune(n), err == nil
}
