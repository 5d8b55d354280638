// Command stylec checks the house rules that formatters and linters don't
// know. It prints one line for each fault and exits with 1 if there is one.
package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"
)

const (
	maxFileLines     = 400
	maxFunctionLines = 60
	minPackageName   = 4
	maxPackageName   = 6
)

type checker struct {
	s      *token.FileSet
	faults []string
	// Exported types by package folder.
	types map[string][]string
}

func main() {
	root := "."
	if len(os.Args) > 1 {
		root = os.Args[1]
	}
	k := &checker{s: token.NewFileSet(), types: map[string][]string{}}
	e := filepath.WalkDir(root, func(p string, d fs.DirEntry, e error) error {
		if e != nil {
			return e
		}
		if d.IsDir() && (strings.HasPrefix(d.Name(), ".") && p != root && d.Name() != ".." || d.Name() == "tools") {
			return fs.SkipDir
		}
		if d.IsDir() || !strings.HasSuffix(p, ".go") || strings.HasSuffix(p, "_gen.go") || strings.HasSuffix(p, ".pb.go") {
			return nil
		}
		return k.file(root, p)
	})
	if e != nil {
		fmt.Fprintln(os.Stderr, e)
		os.Exit(2)
	}
	for p, l := range k.types {
		if len(l) > 1 {
			sort.Strings(l)
			k.faults = append(k.faults, fmt.Sprintf("%s: more than one exported type: %s", p, strings.Join(l, ", ")))
		}
	}
	sort.Strings(k.faults)
	for _, f := range k.faults {
		fmt.Println(f)
	}
	if len(k.faults) > 0 {
		os.Exit(1)
	}
}

func (k *checker) fault(p token.Pos, text string, arguments ...any) {
	q := k.s.Position(p)
	k.faults = append(k.faults, fmt.Sprintf("%s:%d: %s", q.Filename, q.Line, fmt.Sprintf(text, arguments...)))
}

func (k *checker) file(root, path string) error {
	f, e := parser.ParseFile(k.s, path, nil, parser.SkipObjectResolution)
	if e != nil {
		return e
	}
	d := filepath.Dir(path)
	n := f.Name.Name
	test := strings.HasSuffix(path, "_test.go")
	if test && !strings.HasSuffix(n, "_test") {
		k.fault(f.Package, "test is inside package %s", n)
	}
	b := strings.TrimSuffix(n, "_test")
	if b != "main" && (len(b) < minPackageName || len(b) > maxPackageName) {
		k.fault(f.Package, "package name %s has not four to six letters", b)
	}
	if c := k.s.File(f.Pos()).LineCount(); c > maxFileLines {
		k.fault(f.Package, "file has %d lines", c)
	}
	for _, c := range f.Decls {
		switch c := c.(type) {
		case *ast.FuncDecl:
			k.function(c, test)
		case *ast.GenDecl:
			if !test {
				k.declared(d, filepath.Clean(d) == filepath.Clean(root), c)
			}
		}
	}
	return nil
}

func (k *checker) declared(folder string, atRoot bool, g *ast.GenDecl) {
	for _, s := range g.Specs {
		t, ok := s.(*ast.TypeSpec)
		if !ok || !t.Name.IsExported() {
			continue
		}
		if !atRoot {
			k.types[folder] = append(k.types[folder], t.Name.Name)
		}
		u, ok := t.Type.(*ast.StructType)
		if !ok {
			continue
		}
		for _, f := range u.Fields.List {
			for _, n := range f.Names {
				if n.IsExported() {
					k.fault(n.Pos(), "field %s.%s is exported", t.Name.Name, n.Name)
				}
			}
		}
	}
}

func (k *checker) function(f *ast.FuncDecl, test bool) {
	if f.Recv != nil {
		for _, r := range f.Recv.List {
			for _, n := range r.Names {
				k.letter(n, "receiver")
			}
		}
	}
	if f.Body == nil {
		return
	}
	if l := k.s.Position(f.End()).Line - k.s.Position(f.Pos()).Line + 1; l > maxFunctionLines && !test {
		k.fault(f.Pos(), "function %s has %d lines", f.Name.Name, l)
	}
	ast.Inspect(f.Body, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.AssignStmt:
			if n.Tok == token.DEFINE {
				for _, x := range n.Lhs {
					k.letter(x, "local")
				}
			}
		case *ast.RangeStmt:
			if n.Tok == token.DEFINE {
				k.letter(n.Key, "local")
				k.letter(n.Value, "local")
			}
		case *ast.ValueSpec:
			for _, x := range n.Names {
				k.letter(x, "local")
			}
		}
		return true
	})
}

func (k *checker) letter(x ast.Expr, what string) {
	i, ok := x.(*ast.Ident)
	if ok && len(i.Name) > 1 {
		k.fault(i.Pos(), "%s %s has more than one letter", what, i.Name)
	}
}
