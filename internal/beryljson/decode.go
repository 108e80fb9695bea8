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

// maxProblems is the maximum number of syntax and type problems reported for one document.
const maxProblems = 50

// Problem is one error in a document.
type Problem struct {
	// Line is the line number, from 1; zero means the document as a whole.
	Line int
	// Column is the position in the line in bytes, from 1.
	Column int
	// Path is the path of the field, such as "inventory.hosts[2].name".
	Path string
	// Message says what is wrong and how to correct it.
	Message string
}

// Problems is the error that lists all problems of a document.
type Problems struct {
	// File is the name of the document as passed to Decode, usually a path; error texts begin with it.
	File string
	// List holds the problems in the document's order.
	List []Problem
}

// Error returns one line per problem in the form FILE:LINE:COLUMN: PATH: MESSAGE.
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

// Decode decodes a document in JSON with comments into target, a pointer to a struct, and returns the positions of its values. The
// error is a *Problems.
func Decode(file string, data []byte, target any) (*Positions, error) {
	tree, err := hujson.Parse(data)
	if err != nil {
		return nil, syntaxProblem(file, err)
	}
	w := typeChecker{data: data, positions: &Positions{file: file, offsets: map[string]int{}, data: data}}
	w.checkValue("", &tree, reflect.TypeOf(target).Elem())
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

// syntaxProblem converts the parser's error, whose text contains the line and column, to a Problems.
func syntaxProblem(file string, err error) *Problems {
	problem := Problem{Message: strings.TrimPrefix(err.Error(), "hujson: ")}
	var line, column int
	if n, _ := fmt.Sscanf(problem.Message, "line %d, column %d:", &line, &column); n == 2 {
		problem.Line, problem.Column = line, column
		_, problem.Message, _ = strings.Cut(problem.Message, ": ")
	}
	return &Problems{File: file, List: []Problem{problem}}
}

// Positions maps the paths of a document's values to their positions.
type Positions struct {
	file    string
	offsets map[string]int
	data    []byte
}

// Problem returns a problem at the position of the value that path names, or without a position if there is no such value.
func (p *Positions) Problem(path, message string) Problem {
	offset, ok := p.offsets[path]
	if !ok {
		return Problem{Path: path, Message: message}
	}
	line, column := lineColumn(p.data, offset)
	return Problem{Line: line, Column: column, Path: path, Message: message}
}

// Error returns the problems as a *Problems, or nil if there are none.
func (p *Positions) Error(list []Problem) error {
	if len(list) == 0 {
		return nil
	}
	return &Problems{File: p.file, List: list}
}

// lineColumn converts a byte offset to a line and a column, both from 1.
func lineColumn(data []byte, offset int) (line, column int) {
	before := data[:min(offset, len(data))]
	line = bytes.Count(before, []byte("\n")) + 1
	column = len(before) - (bytes.LastIndexByte(before, '\n') + 1) + 1
	return line, column
}

// typeChecker compares a parsed document with a Go type, and collects the problems and the positions of the values.
type typeChecker struct {
	data      []byte
	positions *Positions
	problems  []Problem
}

// report adds a problem, unless there are maxProblems already.
func (w *typeChecker) report(path string, offset int, message string) {
	if len(w.problems) >= maxProblems {
		return
	}
	line, column := lineColumn(w.data, offset)
	w.problems = append(w.problems, Problem{Line: line, Column: column, Path: path, Message: message})
}

// checkValue compares the value at path with the type t.
func (w *typeChecker) checkValue(path string, v *hujson.Value, t reflect.Type) {
	w.positions.offsets[path] = v.StartOffset
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch node := v.Value.(type) {
	case *hujson.Object:
		w.checkObject(path, v, node, t)
	case *hujson.Array:
		w.checkArray(path, v, node, t)
	case hujson.Literal:
		w.checkLiteral(path, v, node, t)
	}
}

// checkObject compares a JSON object with a struct type; unknown and duplicate keys are problems.
func (w *typeChecker) checkObject(path string, v *hujson.Value, node *hujson.Object, t reflect.Type) {
	if t.Kind() != reflect.Struct {
		w.report(path, v.StartOffset, "is an object, but must be "+typeName(t))
		return
	}
	fields := fieldTypes(t)
	seen := map[string]bool{}
	for i := range node.Members {
		member := &node.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		memberPath := join(path, name)
		field, known := fields[name]
		switch {
		case !known:
			w.report(memberPath, member.Name.StartOffset, "is not a known key"+suggestion(name, fields))
		case seen[name]:
			w.report(memberPath, member.Name.StartOffset, "appears twice; keep one")
		default:
			w.checkValue(memberPath, &member.Value, field)
		}
		seen[name] = true
	}
}

// checkArray compares the elements of a JSON array with the element type of a slice.
func (w *typeChecker) checkArray(path string, v *hujson.Value, node *hujson.Array, t reflect.Type) {
	if t.Kind() != reflect.Slice {
		w.report(path, v.StartOffset, "is a list, but must be "+typeName(t))
		return
	}
	for i := range node.Elements {
		w.checkValue(fmt.Sprintf("%s[%d]", path, i), &node.Elements[i], t.Elem())
	}
}

// checkLiteral checks that a string, number, boolean or null can be decoded into the type t.
func (w *typeChecker) checkLiteral(path string, v *hujson.Value, node hujson.Literal, t reflect.Type) {
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

// fieldTypes maps the JSON names of a struct's fields to their types, including the fields of embedded structs.
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

// typeName describes a Go type in terms of JSON, for error messages.
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

// suggestion returns a hint for an unknown key: the known key that differs only in case, dashes or underscores, if there is one.
func suggestion(name string, fields map[string]reflect.Type) string {
	separators := strings.NewReplacer("-", "", "_", "")
	want := strings.ToLower(separators.Replace(name))
	for field := range fields {
		if strings.ToLower(separators.Replace(field)) == want {
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
