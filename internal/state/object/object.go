package object

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// ErrNotEncodable marks the error of a message that has no JSON form, such as one
// with text that is not valid UTF-8. Encoding it again fails in the same way.
var ErrNotEncodable = errors.New("message cannot be encoded")

// Object is one object stored by the platform. It is immutable.
type Object struct {
	// Plural in kebab case, such as "jobs".
	kind string
	// Unique within the kind.
	name string
	// Assigned by the platform, increasing over the changes of all objects; 0
	// for an object that is not stored yet.
	version int64
	// JSON, at most 1 MB.
	value []byte
}

// New returns an object whose value is the given JSON text.
func New(kind, name string, version int64, value []byte) Object {
	return Object{kind: kind, name: name, version: version, value: value}
}

// Encode returns an object whose value is message in the protojson format. Its
// error matches ErrNotEncodable.
func Encode(kind, name string, version int64, message proto.Message) (Object, error) {
	b, e := protojson.Marshal(message)
	if e != nil {
		return Object{}, errors.Mark(errors.Wrapf(e, "encode %s/%s", kind, name), ErrNotEncodable)
	}
	return New(kind, name, version, b), nil
}

// Decode unmarshals the value into message. Unknown fields are ignored, because
// a newer version of the program may have written them.
func (o Object) Decode(message proto.Message) error {
	return protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(o.value, message)
}

// Kind returns the plural kind in kebab case.
func (o Object) Kind() string { return o.kind }

// Name returns the name within the kind.
func (o Object) Name() string { return o.name }

// Version returns the version assigned by the platform, or 0 if the object is
// not stored yet.
func (o Object) Version() int64 { return o.version }

// Value returns the JSON value, which must not be modified.
func (o Object) Value() []byte { return o.value }
