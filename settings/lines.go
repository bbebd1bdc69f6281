package settings

import (
	"bytes"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps dotted keys and table names to their line numbers, counted from 1.
type lineIndex map[string]int

// keyLines returns the index of a valid TOML document.
func keyLines(data []byte) lineIndex {
	index := make(lineIndex)
	parser := unstable.Parser{}
	parser.Reset(data)
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		key, offset := dottedKey(node)
		line := 1 + bytes.Count(data[:offset], []byte("\n"))
		if node.Kind == unstable.Table || node.Kind == unstable.ArrayTable {
			table = key
			index[table] = line
			continue
		}
		if table != "" {
			key = table + "." + key
		}
		index[key] = line
	}
	return index
}

// dottedKey returns the key of a node and the offset of its first part in the document.
func dottedKey(node *unstable.Node) (key string, offset uint32) {
	var parts []string
	for it := node.Key(); it.Next(); {
		part := it.Node()
		if len(parts) == 0 {
			offset = part.Raw.Offset
		}
		parts = append(parts, string(part.Data))
	}
	return strings.Join(parts, "."), offset
}

// lineOf returns the line of a key. If the key is absent, it returns the line of its table,
// and 0 if the table is absent too.
func (l lineIndex) lineOf(key string) int {
	for {
		if line, ok := l[key]; ok {
			return line
		}
		dot := strings.LastIndex(key, ".")
		if dot < 0 {
			return 0
		}
		key = key[:dot]
	}
}
