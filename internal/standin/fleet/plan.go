package fleet

import (
	"encoding/json"
	"fmt"
	"os"
)

// plan is the content of a deployment file, as in examples/.
type plan struct {
	DataCentres    []string `json:"data-centres"`
	BackendServers []struct {
		Service string `json:"service"`
		// Model that an engine serves; empty for a plain service.
		Model string `json:"model"`
		Count int    `json:"count"`
	} `json:"backend-servers"`
	Entries int `json:"entries"`
	Scheds  int `json:"scheds"`
	Depots  int `json:"depots"`
	// Caller names by caller key. If there are none, each key is a caller name.
	Callers map[string]string `json:"callers"`
}

func readPlan(file string) (*plan, error) {
	b, e := os.ReadFile(file)
	if e != nil {
		return nil, e
	}
	p := &plan{}
	e = json.Unmarshal(b, p)
	if e != nil {
		return nil, fmt.Errorf("%s: %w", file, e)
	}
	return p, nil
}

// backend is one backend server of the plan.
type backend struct {
	name, service, dataCentre, address string
	// Empty for a plain service.
	model string
}

// backends distributes the backend servers over the data centres. Each has an
// IP address of its own in network.
func (p *plan) backends(network string) []backend {
	var l []backend
	for _, s := range p.BackendServers {
		for n := range s.Count {
			l = append(l, backend{
				name:       fmt.Sprintf("%s-%02d", s.Service, n+1),
				service:    s.Service,
				dataCentre: p.DataCentres[n%len(p.DataCentres)],
				address:    fmt.Sprintf("%s.%d:8000", network, firstBackendOctet+len(l)),
				model:      s.Model,
			})
		}
	}
	return l
}
