package schema

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyEntry is one key as it is written in a file.
type keyEntry struct {
	path   string // with array indexes: account[1].weight
	offset int    // of the key
	line   int
	start  int // of the complete key-value expression; equal to end for a table
	end    int
	value  unstable.Kind // of the value; Invalid for a table
}

// Index records which keys a file sets and on which lines.
type Index struct {
	entries     []keyEntry // in file order
	lines       map[string]int
	syntaxErr   error          // nil if the syntax is valid
	tableCounts map[string]int // number of tables so far in each array of tables
}

// newIndex indexes data up to the first syntax error.
func newIndex(data []byte) *Index {
	x := &Index{lines: map[string]int{}, tableCounts: map[string]int{}}
	var p unstable.Parser
	p.Reset(data)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table:
			table = x.addTable(&p, e, false)
		case unstable.ArrayTable:
			table = x.addTable(&p, e, true)
		case unstable.KeyValue:
			start := int(e.Raw.Offset)
			x.addKeyValue(&p, table, e, start, start+int(e.Raw.Length))
		}
	}
	x.syntaxErr = p.Error()
	return x
}

// Line returns the line that sets path, or that of its closest parent, or 0 if there is
// none.
func (x *Index) Line(path string) int {
	for {
		if line, ok := x.lines[path]; ok {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return 0
		}
		path = path[:cut]
	}
}

// IsSet reports whether the file sets path.
func (x *Index) IsSet(path string) bool {
	_, ok := x.lines[path]
	return ok
}

// entryAt returns the last entry that begins at or before offset, which is the key whose
// value contains that byte.
func (x *Index) entryAt(offset int) (keyEntry, bool) {
	var found keyEntry
	ok := false
	for _, e := range x.entries {
		if e.offset <= offset && (!ok || e.offset >= found.offset) {
			found, ok = e, true
		}
	}
	return found, ok
}

func (x *Index) add(e keyEntry) {
	x.entries = append(x.entries, e)
	if _, ok := x.lines[e.path]; !ok {
		x.lines[e.path] = e.line
	}
}

// addTable adds a table header and returns its path.
func (x *Index) addTable(p *unstable.Parser, e *unstable.Node, array bool) string {
	path := ""
	it := e.Key()
	for it.Next() {
		part := it.Node()
		path = joinPath(path, string(part.Data))
		if array && it.IsLast() {
			x.lines[path] = p.Shape(part.Raw).Start.Line
			x.tableCounts[path]++
		}
		if n := x.tableCounts[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
		if it.IsLast() {
			offset := int(part.Raw.Offset)
			x.add(keyEntry{path: path, offset: offset, line: p.Shape(part.Raw).Start.Line})
		}
	}
	return path
}

// addKeyValue adds a key of the table prefix, and the keys within its value. start and end
// delimit the top-level expression.
func (x *Index) addKeyValue(p *unstable.Parser, prefix string, n *unstable.Node, start, end int) {
	path := prefix
	it := n.Key()
	var first unstable.Range
	for it.Next() {
		if first.Length == 0 {
			first = it.Node().Raw
		}
		path = joinPath(path, string(it.Node().Data))
	}
	line := p.Shape(first).Start.Line
	x.add(keyEntry{
		path:   path,
		offset: int(first.Offset),
		line:   line,
		start:  start,
		end:    end,
		value:  n.Value().Kind,
	})
	x.addValue(p, path, n.Value(), start, end)
}

// addValue adds the keys of an inline table or the lines of the elements of an array.
func (x *Index) addValue(p *unstable.Parser, path string, v *unstable.Node, start, end int) {
	switch v.Kind {
	case unstable.InlineTable:
		it := v.Children()
		for it.Next() {
			if it.Node().Kind == unstable.KeyValue {
				x.addKeyValue(p, path, it.Node(), start, end)
			}
		}
	case unstable.Array:
		i := 0
		it := v.Children()
		for it.Next() {
			if it.Node().Kind == unstable.Comment {
				continue
			}
			element := fmt.Sprintf("%s[%d]", path, i)
			x.lines[element] = p.Shape(it.Node().Raw).Start.Line
			x.addValue(p, element, it.Node(), start, end)
			i++
		}
	}
}

func joinPath(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}
