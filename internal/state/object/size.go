package object

import (
	"encoding/base64"
	"strconv"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

const (
	// Length of a character that JSON writes as \uXXXX.
	escapeBytes = 6
	// Most bytes of a number that is not an integer.
	maxFloatBytes = 24
)

// Size returns the number of bytes that a message takes as the value of an object in
// a call to the platform, without encoding it: the protojson format without spaces,
// in which encoding/json also escapes the characters that HTML reserves. It is exact
// for messages without fractional numbers, and at least as large for others.
func Size(message proto.Message) int { return messageSize(message.ProtoReflect()) }

func messageSize(message protoreflect.Message) int {
	n := len("{}")
	a := 0
	message.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		n += len(`"":`) + len(f.JSONName()) + fieldSize(f, v)
		a++
		return true
	})
	return n + max(a-1, 0)
}

func fieldSize(field protoreflect.FieldDescriptor, value protoreflect.Value) int {
	switch {
	case field.IsList():
		l := value.List()
		n := len("[]") + max(l.Len()-1, 0)
		for i := range l.Len() {
			n += valueSize(field, l.Get(i))
		}
		return n
	case field.IsMap():
		n := len("{}") + max(value.Map().Len()-1, 0)
		value.Map().Range(func(k protoreflect.MapKey, v protoreflect.Value) bool {
			n += TextSize(k.String()) + len(":") + valueSize(field.MapValue(), v)
			return true
		})
		return n
	}
	return valueSize(field, value)
}

func valueSize(field protoreflect.FieldDescriptor, value protoreflect.Value) int {
	switch field.Kind() {
	case protoreflect.StringKind:
		return TextSize(value.String())
	case protoreflect.BytesKind:
		return len(`""`) + base64.StdEncoding.EncodedLen(len(value.Bytes()))
	case protoreflect.MessageKind, protoreflect.GroupKind:
		return messageSize(value.Message())
	case protoreflect.BoolKind:
		return len(strconv.FormatBool(value.Bool()))
	case protoreflect.EnumKind:
		d := field.Enum().Values().ByNumber(value.Enum())
		if d == nil {
			return len(strconv.Itoa(int(value.Enum())))
		}
		return len(`""`) + len(d.Name())
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		return len(strconv.FormatInt(value.Int(), 10))
	case protoreflect.Int64Kind, protoreflect.Sint64Kind, protoreflect.Sfixed64Kind:
		return len(`""`) + len(strconv.FormatInt(value.Int(), 10))
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return len(strconv.FormatUint(value.Uint(), 10))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return len(`""`) + len(strconv.FormatUint(value.Uint(), 10))
	}
	return maxFloatBytes
}

// TextSize returns the number of bytes that a text takes as a JSON string in a call to
// the platform, or in a response to a caller.
func TextSize(text string) int { return len(`""`) + EscapedSize(text) }

// EscapedSize returns the same without the quotes.
func EscapedSize[T ~string | ~[]byte](text T) int {
	n := len(text)
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case c == '"', c == '\\', c == '\b', c == '\f', c == '\n', c == '\r', c == '\t':
			n++
		case c < ' ', c == '<', c == '>', c == '&':
			n += escapeBytes - 1
		case c == 0xe2 && i+2 < len(text) && text[i+1] == 0x80 && text[i+2]&^1 == 0xa8:
			// U+2028 and U+2029.
			n += escapeBytes - 3
		}
	}
	return n
}
