package order

import (
	"slices"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Names of the engines' orders, as they stand in the path.
const (
	loadModel   = "load-model"
	setVersion  = "set-version"
	loadAdapter = "load-adapter"
)

// order is one order and the JSON fields of its body.
type order struct {
	Name    string `json:"-"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
}

// loadsWeights says whether the order reads from the weight store.
func (s *order) loadsWeights() bool { return s.Name != setVersion }

// nextOrder returns the order that brings an engine nearer to the text, nil when it
// matches. Adapters that the text does not list stay: they cost memory but
// serve nobody wrongly.
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
