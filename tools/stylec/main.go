// Command stylec checks the style rules of this repository that formatters and
// linters do not cover. It prints one line for each violation and exits with 1 if
// there are any, and with 2 if the files cannot be read.
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
	fileSet    *token.FileSet
	violations []string
	// Names of exported types by package folder. Types of the root package are
	// not counted.
	exportedTypes map[string][]string
}

func main() {
	root := "."
	if len(os.Args) > 1 {
		root = os.Args[1]
	}
	k := &checker{fileSet: token.NewFileSet(), exportedTypes: map[string][]string{}}
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
		return k.checkFile(root, p)
	})
	if e != nil {
		fmt.Fprintln(os.Stderr, e)
		os.Exit(2)
	}
	for p, l := range k.exportedTypes {
		if len(l) > 1 {
			sort.Strings(l)
			k.violations = append(k.violations, fmt.Sprintf("%s: more than one exported type: %s", p, strings.Join(l, ", ")))
		}
	}
	sort.Strings(k.violations)
	for _, f := range k.violations {
		fmt.Println(f)
	}
	if len(k.violations) > 0 {
		os.Exit(1)
	}
}

func (k *checker) report(pos token.Pos, text string, arguments ...any) {
	q := k.fileSet.Position(pos)
	k.violations = append(k.violations, fmt.Sprintf("%s:%d: %s", q.Filename, q.Line, fmt.Sprintf(text, arguments...)))
}

func (k *checker) checkFile(root, path string) error {
	f, e := parser.ParseFile(k.fileSet, path, nil, parser.SkipObjectResolution)
	if e != nil {
		return e
	}
	d := filepath.Dir(path)
	n := f.Name.Name
	test := strings.HasSuffix(path, "_test.go")
	if test && !strings.HasSuffix(n, "_test") {
		k.report(f.Package, "test file is not in an external test package but in %s", n)
	}
	b := strings.TrimSuffix(n, "_test")
	if b != "main" && (len(b) < minPackageName || len(b) > maxPackageName) {
		k.report(f.Package, "package name %s does not have four to six letters", b)
	}
	if c := k.fileSet.File(f.Pos()).LineCount(); c > maxFileLines {
		k.report(f.Package, "file has %d lines", c)
	}
	for _, c := range f.Decls {
		switch c := c.(type) {
		case *ast.FuncDecl:
			k.checkFunction(c, test)
		case *ast.GenDecl:
			if !test {
				k.checkTypes(d, filepath.Clean(d) == filepath.Clean(root), c)
			}
		}
	}
	return nil
}

func (k *checker) checkTypes(folder string, atRoot bool, decl *ast.GenDecl) {
	for _, s := range decl.Specs {
		t, ok := s.(*ast.TypeSpec)
		if !ok || !t.Name.IsExported() {
			continue
		}
		if !atRoot {
			k.exportedTypes[folder] = append(k.exportedTypes[folder], t.Name.Name)
		}
		u, ok := t.Type.(*ast.StructType)
		if !ok {
			continue
		}
		for _, f := range u.Fields.List {
			for _, n := range f.Names {
				if n.IsExported() {
					k.report(n.Pos(), "field %s.%s is exported", t.Name.Name, n.Name)
				}
			}
		}
	}
}

func (k *checker) checkFunction(decl *ast.FuncDecl, isTest bool) {
	if decl.Recv != nil {
		for _, r := range decl.Recv.List {
			for _, n := range r.Names {
				k.checkOneLetter(n, "receiver")
			}
		}
	}
	if decl.Body == nil {
		return
	}
	if l := k.fileSet.Position(decl.End()).Line - k.fileSet.Position(decl.Pos()).Line + 1; l > maxFunctionLines && !isTest {
		k.report(decl.Pos(), "function %s has %d lines", decl.Name.Name, l)
	}
	ast.Inspect(decl.Body, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.AssignStmt:
			if n.Tok == token.DEFINE {
				for _, x := range n.Lhs {
					k.checkOneLetter(x, "local")
				}
			}
		case *ast.RangeStmt:
			if n.Tok == token.DEFINE {
				k.checkOneLetter(n.Key, "local")
				k.checkOneLetter(n.Value, "local")
			}
		case *ast.ValueSpec:
			for _, x := range n.Names {
				k.checkOneLetter(x, "local")
			}
		}
		return true
	})
}

func (k *checker) checkOneLetter(expr ast.Expr, kind string) {
	i, ok := expr.(*ast.Ident)
	if ok && len(i.Name) > 1 {
		k.report(i.Pos(), "%s %s has more than one letter", kind, i.Name)
	}
}
