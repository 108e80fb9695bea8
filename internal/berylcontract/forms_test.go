package berylcontract

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var updateForms = flag.Bool("update-forms", false, "write the list of forms anew")

const (
	formsList  = "testdata/forms.txt"
	formsPage  = "../../docs/design/upgrades.md"
	sourceGlob = "../*/*.go"
)

var (
	numberedTag = regexp.MustCompile(`cbor:"(\d+),keyasint([a-z,]*)"`)
	kindName    = regexp.MustCompile(`^kind[A-Z]`)
)

// Guards against a change of a message or record that a host of another build would misread: a field that changes its number or type, or
// a form that nobody has thought about. Fields may be added.
func TestFormsOfMessagesAndRecords(t *testing.T) {
	forms := findForms(t)
	if *updateForms {
		if err := os.WriteFile(formsList, []byte(strings.Join(forms, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	data, err := os.ReadFile(formsList)
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(formsPage)
	if err != nil {
		t.Fatal(err)
	}
	listed := strings.Split(strings.TrimSpace(string(data)), "\n")
	for _, line := range listed {
		if !slices.Contains(forms, line) {
			t.Errorf("%q is listed but no longer in the code: hosts of older builds still send and store it", line)
		}
	}
	for _, line := range forms {
		if !slices.Contains(listed, line) {
			t.Errorf("%q is new: say in %s what other builds make of it, then run go test ./internal/berylcontract -run TestForms -update-forms", line, formsPage)
		}
		if name, _, _ := strings.Cut(line, " "); !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("%s has no row in %s", name, formsPage)
		}
	}
}

// findForms returns a line for each numbered field and for each kind of message between hosts, sorted.
func findForms(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob(sourceGlob)
	if err != nil {
		t.Fatal(err)
	}
	var forms []string
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(parsed, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.TypeSpec:
				if s, ok := n.Type.(*ast.StructType); ok {
					forms = append(forms, fieldForms(parsed.Name.Name+"."+n.Name.Name, s)...)
				}
			case *ast.ValueSpec:
				if kindName.MatchString(n.Names[0].Name) && len(n.Values) == 1 {
					if value, ok := n.Values[0].(*ast.BasicLit); ok && value.Kind == token.STRING {
						forms = append(forms, strings.Trim(value.Value, `"`)+" kind")
					}
				}
			}
			return true
		})
	}
	slices.Sort(forms)
	return forms
}

func fieldForms(name string, s *ast.StructType) []string {
	var forms []string
	for _, f := range s.Fields.List {
		if f.Tag == nil {
			continue
		}
		if tag := numberedTag.FindStringSubmatch(f.Tag.Value); tag != nil {
			forms = append(forms, fmt.Sprintf("%s %s %s%s", name, tag[1], types(f.Type), strings.ReplaceAll(tag[2], ",", " ")))
		}
	}
	return forms
}

// types returns the Go source of a type.
func types(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.SelectorExpr:
		return types(e.X) + "." + e.Sel.Name
	case *ast.ArrayType:
		return "[]" + types(e.Elt)
	case *ast.MapType:
		return "map[" + types(e.Key) + "]" + types(e.Value)
	case *ast.StarExpr:
		return "*" + types(e.X)
	default:
		return fmt.Sprintf("%T", e)
	}
}
