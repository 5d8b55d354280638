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

// step is one order and the JSON fields of its body.
type step struct {
	Order   string `json:"-"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
}

// loads says whether the order reads from the weight store.
func (s *step) loads() bool { return s.Order != setVersion }

// next returns the order that brings an engine nearer to the text, nil when it
// matches. Adapters that the text does not list stay: they cost memory but
// serve nobody wrongly.
func next(w *wire.Service, s *wire.EngineState) *step {
	switch {
	case s.GetModel() != w.GetModel():
		return &step{Order: loadModel, Model: w.GetModel(), Version: w.GetVersion()}
	case w.GetVersion() != "" && s.GetVersion() != w.GetVersion():
		return &step{Order: setVersion, Version: w.GetVersion()}
	}
	for _, a := range w.GetAdapters() {
		if !slices.Contains(s.GetAdapters(), a) {
			return &step{Order: loadAdapter, Adapter: a}
		}
	}
	return nil
}
