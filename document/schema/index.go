package schema

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// entry is one key as written in a file.
type entry struct {
	path   string // with positions in arrays: account[1].weight
	offset int    // of the key
	line   int
	start  int // of the whole key-value expression; start = end for a table
	end    int
	value  unstable.Kind // of the value; Invalid for a table
}

// Index tells which keys a file sets and on which line.
type Index struct {
	entries []entry // in file order
	lines   map[string]int
	syntax  error          // of the parser; nil for a well-formed file
	counts  map[string]int // tables seen so far of each array of tables
}

// newIndex scans data up to the first syntax error.
func newIndex(data []byte) *Index {
	x := &Index{lines: map[string]int{}, counts: map[string]int{}}
	var p unstable.Parser
	p.Reset(data)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table:
			table = x.table(&p, e, false)
		case unstable.ArrayTable:
			table = x.table(&p, e, true)
		case unstable.KeyValue:
			start := int(e.Raw.Offset)
			x.keyValue(&p, table, e, start, start+int(e.Raw.Length))
		}
	}
	x.syntax = p.Error()
	return x
}

// Line returns the line that sets path, or else the line of its closest
// parent, or else 0.
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

// at returns the last entry that begins at or before offset: the key whose
// value holds that byte.
func (x *Index) at(offset int) (entry, bool) {
	var found entry
	ok := false
	for _, e := range x.entries {
		if e.offset <= offset && (!ok || e.offset >= found.offset) {
			found, ok = e, true
		}
	}
	return found, ok
}

func (x *Index) add(e entry) {
	x.entries = append(x.entries, e)
	if _, ok := x.lines[e.path]; !ok {
		x.lines[e.path] = e.line
	}
}

func (x *Index) table(p *unstable.Parser, e *unstable.Node, array bool) string {
	path := ""
	it := e.Key()
	for it.Next() {
		part := it.Node()
		path = join(path, string(part.Data))
		if array && it.IsLast() {
			x.lines[path] = p.Shape(part.Raw).Start.Line
			x.counts[path]++
		}
		if n := x.counts[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
		if it.IsLast() {
			offset := int(part.Raw.Offset)
			x.add(entry{path: path, offset: offset, line: p.Shape(part.Raw).Start.Line})
		}
	}
	return path
}

func (x *Index) keyValue(p *unstable.Parser, prefix string, n *unstable.Node, start, end int) {
	path := prefix
	it := n.Key()
	var first unstable.Range
	for it.Next() {
		if first.Length == 0 {
			first = it.Node().Raw
		}
		path = join(path, string(it.Node().Data))
	}
	line := p.Shape(first).Start.Line
	x.add(entry{
		path:   path,
		offset: int(first.Offset),
		line:   line,
		start:  start,
		end:    end,
		value:  n.Value().Kind,
	})
	x.value(p, path, n.Value(), start, end)
}

func (x *Index) value(p *unstable.Parser, path string, v *unstable.Node, start, end int) {
	switch v.Kind {
	case unstable.InlineTable:
		it := v.Children()
		for it.Next() {
			if it.Node().Kind == unstable.KeyValue {
				x.keyValue(p, path, it.Node(), start, end)
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
			x.value(p, element, it.Node(), start, end)
			i++
		}
	}
}

func join(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}
