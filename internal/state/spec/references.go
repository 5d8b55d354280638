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

// checkReferences validates what the JSON schema can't express: unique names,
// dependencies on listed services, fields that depend on the kind, and cycles.
func checkReferences(text *wire.Text) trail.Errors {
	var l trail.Errors
	n := map[string]int{}
	for i, s := range text.GetServices() {
		p := fmt.Sprintf("/services/%d", i)
		j, o := n[s.GetName()]
		if o {
			l = append(l, trail.NewError(codeDuplicate, trail.NotRun, "service %s stands already at /services/%d", s.GetName(), j).WithPlace(p+"/name"))
			continue
		}
		n[s.GetName()] = i
		l = append(l, checkKind(p, s)...)
	}
	for i, s := range text.GetServices() {
		for j, d := range s.GetDependsOn() {
			_, o := n[d]
			if !o {
				l = append(l, trail.NewError(codeDependency, trail.NotRun, "service %s depends on %s, which is not listed", s.GetName(), d).WithPlace(fmt.Sprintf("/services/%d/depends-on/%d", i, j)))
			}
		}
	}
	return append(l, findCycles(text, n)...)
}

// checkKind validates the fields that are specific to one kind of service.
func checkKind(pointer string, service *wire.Service) trail.Errors {
	var l trail.Errors
	if service.GetKind() == "model" {
		if service.GetModel() == "" {
			l = append(l, trail.NewError(codeModel, trail.NotRun, "model service %s names no model", service.GetName()).WithPlace(pointer+"/model"))
		}
		if len(service.GetIdempotentMethods()) > 0 {
			l = append(l, trail.NewError(codeModel, trail.NotRun, "model service %s has methods of a plain service", service.GetName()).WithPlace(pointer+"/idempotent-methods"))
		}
		return l
	}
	if service.GetModel() != "" || service.GetVersion() != "" || len(service.GetAdapters()) > 0 {
		l = append(l, trail.NewError(codeModel, trail.NotRun, "plain service %s names a model, version or adapter", service.GetName()).WithPlace(pointer+"/model"))
	}
	return l
}

// findCycles searches the dependencies depth first. It reports each cycle once,
// at the service of the cycle that the search visits first.
func findCycles(text *wire.Text, index map[string]int) trail.Errors {
	var l trail.Errors
	// State of each service: 0 not visited, 1 on the current path, 2 done.
	m := make([]int, len(text.GetServices()))
	var v func(i int, path []string)
	v = func(i int, path []string) {
		s := text.GetServices()[i]
		m[i] = 1
		path = append(path, s.GetName())
		for _, d := range s.GetDependsOn() {
			j, o := index[d]
			switch {
			case !o:
			case m[j] == 0:
				v(j, path)
			case m[j] == 1:
				l = append(l, trail.NewError(codeCycle, trail.NotRun, "services depend on each other: %s", strings.Join(cyclePath(path, d), " -> ")).WithPlace(fmt.Sprintf("/services/%d/depends-on", j)))
			}
		}
		m[i] = 2
	}
	for i, s := range text.GetServices() {
		// Duplicate names have been reported by checkReferences.
		if m[i] == 0 && index[s.GetName()] == i {
			v(i, nil)
		}
	}
	return l
}

// cyclePath returns the part of the path that starts at name, with name appended
// to close the cycle.
func cyclePath(path []string, name string) []string {
	for i, n := range path {
		if n == name {
			return append(append([]string{}, path[i:]...), name)
		}
	}
	return path
}
