package fleet

import (
	"encoding/json"
	"fmt"
	"os"
)

// plan is a deployment file of examples/.
type plan struct {
	DataCentres    []string `json:"data-centres"`
	BackendServers []struct {
		Service string `json:"service"`
		// Of a model engine; empty for a plain service.
		Model string `json:"model"`
		Count int    `json:"count"`
	} `json:"backend-servers"`
	Entries int `json:"entries"`
	Scheds  int `json:"scheds"`
	Depots  int `json:"depots"`
	// From caller key to caller name; empty lets each key name its caller.
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

// backends spreads the backend servers over the data centres. Each has an IP
// number of its own in network.
func (p *plan) backends(network string) []backend {
	var l []backend
	i := 0
	for _, s := range p.BackendServers {
		for n := range s.Count {
			i++
			l = append(l, backend{
				name:       fmt.Sprintf("%s-%02d", s.Service, n+1),
				service:    s.Service,
				dataCentre: p.DataCentres[n%len(p.DataCentres)],
				address:    fmt.Sprintf("%s.%d:8000", network, 100+i),
				model:      s.Model,
			})
		}
	}
	return l
}
