package beryljson

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// maxProblems bounds the problems named in one answer.
const maxProblems = 50

// Problem is one thing wrong in a document.
type Problem struct {
	// Line counts from 1; zero means the document as a whole.
	Line int
	// Column counts bytes from 1.
	Column int
	// Path names the field, such as "inventory.hosts[2].name".
	Path string
	// Message says what is wrong and what to do.
	Message string
}

// Problems is everything wrong in a document; it is an error when it is not empty.
type Problems struct {
	// File names the document.
	File string
	// List holds the problems in the document's order.
	List []Problem
}

// Error returns one line for each problem, as FILE:LINE:COLUMN: PATH: MESSAGE.
func (p *Problems) Error() string {
	var text strings.Builder
	for i, problem := range p.List {
		if i > 0 {
			text.WriteByte('\n')
		}
		text.WriteString(p.File)
		if problem.Line > 0 {
			fmt.Fprintf(&text, ":%d:%d", problem.Line, problem.Column)
		}
		text.WriteString(": ")
		if problem.Path != "" {
			text.WriteString(problem.Path + ": ")
		}
		text.WriteString(problem.Message)
	}
	return text.String()
}

// Decode fills target from a document in JSON with comments and returns the positions of its values; the error is a *Problems.
func Decode(file string, data []byte, target any) (*Positions, error) {
	tree, err := hujson.Parse(data)
	if err != nil {
		return nil, syntaxProblem(file, err)
	}
	w := walker{data: data, positions: &Positions{file: file, offsets: map[string]int{}, data: data}}
	w.value("", &tree, reflect.TypeOf(target).Elem())
	if len(w.problems) > 0 {
		return nil, &Problems{File: file, List: w.problems}
	}
	tree.Standardize()
	decoder := json.NewDecoder(bytes.NewReader(tree.Pack()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return nil, &Problems{File: file, List: []Problem{{Message: err.Error()}}}
	}
	return w.positions, nil
}

// syntaxProblem turns the parser's error, which names its own line and column, into a Problems.
func syntaxProblem(file string, err error) *Problems {
	problem := Problem{Message: strings.TrimPrefix(err.Error(), "hujson: ")}
	var line, column int
	if n, _ := fmt.Sscanf(problem.Message, "line %d, column %d:", &line, &column); n == 2 {
		problem.Line, problem.Column = line, column
		_, problem.Message, _ = strings.Cut(problem.Message, ": ")
	}
	return &Problems{File: file, List: []Problem{problem}}
}

// Positions remembers where the values of a document stand.
type Positions struct {
	file    string
	offsets map[string]int
	data    []byte
}

// Problem returns a problem placed at the value that path names, or at the document as a whole.
func (p *Positions) Problem(path, message string) Problem {
	offset, ok := p.offsets[path]
	if !ok {
		return Problem{Path: path, Message: message}
	}
	line, column := lineColumn(p.data, offset)
	return Problem{Line: line, Column: column, Path: path, Message: message}
}

// Error returns the problems as an error, or nil when there are none.
func (p *Positions) Error(list []Problem) error {
	if len(list) == 0 {
		return nil
	}
	return &Problems{File: p.file, List: list}
}

func lineColumn(data []byte, offset int) (line, column int) {
	before := data[:min(offset, len(data))]
	line = bytes.Count(before, []byte("\n")) + 1
	column = len(before) - (bytes.LastIndexByte(before, '\n') + 1) + 1
	return line, column
}

// walker compares a parsed document with a Go type.
type walker struct {
	data      []byte
	positions *Positions
	problems  []Problem
}

func (w *walker) report(path string, offset int, message string) {
	if len(w.problems) >= maxProblems {
		return
	}
	line, column := lineColumn(w.data, offset)
	w.problems = append(w.problems, Problem{Line: line, Column: column, Path: path, Message: message})
}

func (w *walker) value(path string, v *hujson.Value, t reflect.Type) {
	w.positions.offsets[path] = v.StartOffset
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch node := v.Value.(type) {
	case *hujson.Object:
		w.object(path, v, node, t)
	case *hujson.Array:
		w.array(path, v, node, t)
	case hujson.Literal:
		w.literal(path, v, node, t)
	}
}

func (w *walker) object(path string, v *hujson.Value, node *hujson.Object, t reflect.Type) {
	if t.Kind() != reflect.Struct {
		w.report(path, v.StartOffset, "is an object, but must be "+typeName(t))
		return
	}
	fields := fieldTypes(t)
	seen := map[string]bool{}
	for i := range node.Members {
		member := &node.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		at := join(path, name)
		field, known := fields[name]
		switch {
		case !known:
			w.report(at, member.Name.StartOffset, "is not a known key"+suggestion(name, fields))
		case seen[name]:
			w.report(at, member.Name.StartOffset, "stands twice; keep one")
		default:
			w.value(at, &member.Value, field)
		}
		seen[name] = true
	}
}

func (w *walker) array(path string, v *hujson.Value, node *hujson.Array, t reflect.Type) {
	if t.Kind() != reflect.Slice {
		w.report(path, v.StartOffset, "is a list, but must be "+typeName(t))
		return
	}
	for i := range node.Elements {
		w.value(fmt.Sprintf("%s[%d]", path, i), &node.Elements[i], t.Elem())
	}
}

func (w *walker) literal(path string, v *hujson.Value, node hujson.Literal, t reflect.Type) {
	if node.Kind() == 'n' && t.Kind() != reflect.Slice {
		w.report(path, v.StartOffset, "is null; leave the key out for the default")
		return
	}
	err := json.Unmarshal(node, reflect.New(t).Interface())
	if err == nil {
		return
	}
	if node.Kind() == '"' && reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
		w.report(path, v.StartOffset, err.Error())
		return
	}
	w.report(path, v.StartOffset, fmt.Sprintf("is %s, but must be %s", string(node), typeName(t)))
}

// fieldTypes maps the JSON names of a struct's fields to their types, embedded structs included.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for _, field := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = field.Type
		}
	}
	return fields
}

// typeName describes a Go type to a person who writes JSON.
func typeName(t reflect.Type) string {
	if reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
		return `a time span such as "250ms" or "2s"`
	}
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list"
	case reflect.Struct:
		return "an object"
	case reflect.Float64, reflect.Float32:
		return "a number"
	default:
		return "a whole number in range"
	}
}

// suggestion names the known key that differs from name by case, dashes or underscores alone.
func suggestion(name string, fields map[string]reflect.Type) string {
	plain := strings.NewReplacer("-", "", "_", "")
	want := strings.ToLower(plain.Replace(name))
	for field := range fields {
		if strings.ToLower(plain.Replace(field)) == want {
			return fmt.Sprintf("; did you mean %q?", field)
		}
	}
	return "; remove it or check its spelling"
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
