package fleet

// maxDepth is the nesting of arrays and objects up to which prune keeps them. An entry has a depth of 3.
const maxDepth = 64

// prune returns JSON content with null in place of all arrays and objects below maxDepth, which encoding/json rejects together with the
// whole document if they are nested much deeper. It does not check the syntax otherwise.
func prune(content []byte) []byte {
	pruned := make([]byte, 0, len(content))
	depth, inText, escaped := 0, false, false
	for _, c := range content {
		switch {
		case inText:
			inText = escaped || c != '"'
			escaped = !escaped && c == '\\'
		case c == '"':
			inText = true
		case c == '[' || c == '{':
			if depth++; depth == maxDepth {
				pruned = append(pruned, "null"...)
			}
		case c == ']' || c == '}':
			if depth--; depth == maxDepth-1 {
				continue
			}
		}
		if depth < maxDepth {
			pruned = append(pruned, c)
		}
	}
	return pruned
}
