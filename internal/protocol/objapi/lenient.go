package objapi

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
)

// decodeResponse decodes a body into response. In a list, an object that cannot
// be decoded by itself has no value, and the others hold: another writer may have
// nested it more deeply than encoding/json accepts.
func decodeResponse(body []byte, response any) error {
	e := json.Unmarshal(body, response)
	l, k := response.(*documentList)
	if e == nil || !k {
		return e
	}
	a := gjson.GetManyBytes(body, "metadata", "items")
	if !a[0].IsObject() || !a[1].IsArray() {
		return e
	}
	*l = documentList{}
	f := json.Unmarshal([]byte(a[0].Raw), &l.Metadata)
	a[1].ForEach(func(_, v gjson.Result) bool {
		var d document
		d, e = decodeDocument(v)
		l.Items = append(l.Items, d)
		return e == nil
	})
	return errors.CombineErrors(e, f)
}

// decodeEvent does the same with a line of the response to a watch request.
func decodeEvent(line []byte) (watchEvent, error) {
	var v watchEvent
	e := json.Unmarshal(line, &v)
	if e == nil {
		return v, nil
	}
	a := gjson.GetManyBytes(line, "type", "object")
	v = watchEvent{Type: a[0].String()}
	v.Object, e = decodeDocument(a[1])
	return v, e
}

// decodeDocument decodes an object, or only its metadata if the rest cannot be
// decoded. It fails if the metadata cannot be decoded either.
func decodeDocument(value gjson.Result) (document, error) {
	var d document
	e := json.Unmarshal([]byte(value.Raw), &d)
	if e == nil {
		return d, nil
	}
	d = document{}
	f := json.Unmarshal([]byte(value.Get("metadata").Raw), &d.Metadata)
	if f != nil || d.Metadata.Name == "" {
		return document{}, errors.Wrap(e, "object without metadata")
	}
	return d, nil
}
