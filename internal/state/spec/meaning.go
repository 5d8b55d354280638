package spec

import (
	"fmt"
	"strings"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	codeDuplicate  = "service-duplicate"
	codeModel      = "service-model"
	codeDependency = "dependency-unknown"
	codeCycle      = "dependency-cycle"
)

// meaning checks what a schema can't: names that refer to each other.
func meaning(t *wire.Text) trail.Errors {
	var l trail.Errors
	n := map[string]int{}
	for i, s := range t.GetServices() {
		p := fmt.Sprintf("/services/%d", i)
		j, o := n[s.GetName()]
		if o {
			l = append(l, trail.NewError(codeDuplicate, trail.NotRun, "service %s stands already at /services/%d", s.GetName(), j).WithPlace(p+"/name"))
			continue
		}
		n[s.GetName()] = i
		l = append(l, kind(p, s)...)
	}
	for i, s := range t.GetServices() {
		for j, d := range s.GetDependsOn() {
			_, o := n[d]
			if !o {
				l = append(l, trail.NewError(codeDependency, trail.NotRun, "service %s depends on %s, which is not listed", s.GetName(), d).WithPlace(fmt.Sprintf("/services/%d/depends-on/%d", i, j)))
			}
		}
	}
	return append(l, cycles(t, n)...)
}

// kind checks the fields that only one kind of service has.
func kind(place string, s *wire.Service) trail.Errors {
	var l trail.Errors
	if s.GetKind() == "model" {
		if s.GetModel() == "" {
			l = append(l, trail.NewError(codeModel, trail.NotRun, "model service %s names no model", s.GetName()).WithPlace(place+"/model"))
		}
		if len(s.GetIdempotentMethods()) > 0 {
			l = append(l, trail.NewError(codeModel, trail.NotRun, "model service %s has methods of a plain service", s.GetName()).WithPlace(place+"/idempotent-methods"))
		}
		return l
	}
	if s.GetModel() != "" || s.GetVersion() != "" || len(s.GetAdapters()) > 0 {
		l = append(l, trail.NewError(codeModel, trail.NotRun, "plain service %s names a model, version or adapter", s.GetName()).WithPlace(place+"/model"))
	}
	return l
}

// cycles reports each cycle once, at the service of the cycle that stands
// first in the text.
func cycles(t *wire.Text, index map[string]int) trail.Errors {
	var l trail.Errors
	// 0 not visited, 1 on the path, 2 done.
	m := make([]int, len(t.GetServices()))
	var v func(i int, path []string)
	v = func(i int, path []string) {
		s := t.GetServices()[i]
		m[i] = 1
		path = append(path, s.GetName())
		for _, d := range s.GetDependsOn() {
			j, o := index[d]
			switch {
			case !o:
			case m[j] == 0:
				v(j, path)
			case m[j] == 1:
				l = append(l, trail.NewError(codeCycle, trail.NotRun, "services depend on each other: %s", strings.Join(loop(path, d), " -> ")).WithPlace(fmt.Sprintf("/services/%d/depends-on", j)))
			}
		}
		m[i] = 2
	}
	for i, s := range t.GetServices() {
		// A duplicate was reported already.
		if m[i] == 0 && index[s.GetName()] == i {
			v(i, nil)
		}
	}
	return l
}

// loop cuts the path to the part that begins and ends with name.
func loop(path []string, name string) []string {
	for i, n := range path {
		if n == name {
			return append(append([]string{}, path[i:]...), name)
		}
	}
	return path
}
