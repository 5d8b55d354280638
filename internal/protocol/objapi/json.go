package objapi

import (
	"encoding/json"

	"bulrushtrail.example/trail/internal/state/object"
)

// document is the JSON representation of an object in requests and responses.
type document struct {
	Kind     string          `json:"kind,omitempty"`
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
}

type metadata struct {
	Name            string `json:"name,omitempty"`
	ResourceVersion int64  `json:"resourceVersion,string,omitempty"`
}

type documentList struct {
	Metadata metadata   `json:"metadata"`
	Items    []document `json:"items"`
}

type deleteOptions struct {
	Preconditions metadata `json:"preconditions"`
}

// watchEvent is one line of the response to a watch request.
type watchEvent struct {
	// ADDED, MODIFIED or DELETED. Events of other types are ignored.
	Type   string   `json:"type"`
	Object document `json:"object"`
}

func (d document) toObject(kind string) object.Object {
	return object.New(kind, d.Metadata.Name, d.Metadata.ResourceVersion, d.Spec)
}
