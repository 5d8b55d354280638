package order

import (
	"slices"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Order names of the engine API, used as the last element of the path.
const (
	loadModel   = "load-model"
	setVersion  = "set-version"
	loadAdapter = "load-adapter"
)

// order is one order to an engine. The fields with JSON names form its body.
type order struct {
	Name    string `json:"-"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
}

// loadsWeights reports whether the order makes the engine read from the weight
// store.
func (s *order) loadsWeights() bool { return s.Name != setVersion }

// nextOrder returns the next order that an engine needs to reach the configured
// state, or nil if it matches. Adapters that are not configured stay loaded:
// they use memory but cannot cause a wrong answer.
func nextOrder(service *wire.Service, state *wire.EngineState) *order {
	switch {
	case state.GetModel() != service.GetModel():
		return &order{Name: loadModel, Model: service.GetModel(), Version: service.GetVersion()}
	case service.GetVersion() != "" && state.GetVersion() != service.GetVersion():
		return &order{Name: setVersion, Version: service.GetVersion()}
	}
	for _, a := range service.GetAdapters() {
		if !slices.Contains(state.GetAdapters(), a) {
			return &order{Name: loadAdapter, Adapter: a}
		}
	}
	return nil
}
