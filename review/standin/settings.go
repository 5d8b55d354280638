//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	deployFile   = "deploy/system.toml"
	templateFile = "deploy/node.json"
)

var (
	runLine     = regexp.MustCompile(`(?s)\[roles\.front\].*?\nrun = "([^"]+)"`)
	placeholder = regexp.MustCompile(`\{\{([A-Za-z.0-9]+)(\|json)?\}\}`)
)

// frontCommand returns the program and its arguments by which the deploy file runs a
// front.
func frontCommand() ([]string, error) {
	b, e := os.ReadFile(deployFile)
	if e != nil {
		return nil, e
	}
	m := runLine.FindSubmatch(b)
	if m == nil {
		return nil, errors.Newf("%s has no run line of the role front", deployFile)
	}
	return strings.Fields(string(m[1])), nil
}

// renderSettings fills in the template of the deploy file as the platform does.
func renderSettings(values map[string]any) ([]byte, error) {
	b, e := os.ReadFile(templateFile)
	if e != nil {
		return nil, e
	}
	r := placeholder.ReplaceAllFunc(b, func(p []byte) []byte {
		m := placeholder.FindSubmatch(p)
		v := values[string(m[1])]
		if len(m[2]) == 0 {
			return fmt.Append(nil, v)
		}
		j, f := json.Marshal(v)
		if f != nil {
			e = f
		}
		return j
	})
	return r, e
}

// frontValues returns the fields of the settings file of a front, with the figures of
// the smallest deployment. The addresses are those for callers, for readiness checks
// and of the platform's store.
func frontValues(name, zone, api, ready, store string, peerPort int) map[string]any {
	return map[string]any{
		"NodeName": name, "Zone": zone, "Listen.Front": api, "Listen.Ready": ready, "Ip": loopback,
		"PortRange.0": peerPort, "Provider.Address": store, "Provider.WritesPerS": 400, "Provider.ReadsPerS": 2000,
		"Provider.ValueBytes": 1 << 20, "Limits.MemoryMb": 284, "Bounds.GraceS": 8,
	}
}
