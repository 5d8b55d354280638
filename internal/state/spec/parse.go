package spec

import (
	"bytes"
	_ "embed"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
	"google.golang.org/protobuf/encoding/protojson"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// MaxTextBytes is the maximum size of a services text. It leaves room for the
// metadata of the platform object that stores the text.
const MaxTextBytes = 900 << 10

const (
	codeSyntax = "text-syntax"
	codeShape  = "text-shape"
)

//go:embed schema.json
var schemaText []byte

var schema = sync.OnceValue(func() *jsonschema.Schema {
	d, e := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if e != nil {
		panic(e)
	}
	c := jsonschema.NewCompiler()
	e = c.AddResource("schema.json", d)
	if e != nil {
		panic(e)
	}
	return c.MustCompile("schema.json")
})

// Parse parses and validates a services text in JSON. Its error is a
// trail.Errors with one entry for each fault, located by JSON pointer.
func Parse(text []byte) (*wire.Text, error) {
	if len(text) > MaxTextBytes {
		return nil, trail.Errors{trail.NewError(codeSyntax, trail.NotRun, "text has %d bytes, more than %d", len(text), MaxTextBytes).WithPlace("/")}
	}
	d, e := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if e != nil {
		return nil, trail.Errors{trail.NewError(codeSyntax, trail.NotRun, "text is not JSON: %v", e).WithPlace("/")}
	}
	l := checkSchema(d)
	if len(l) > 0 {
		return nil, l
	}
	t := &wire.Text{}
	// Also rejects duplicate keys, which schema validation doesn't detect.
	e = protojson.Unmarshal(text, t)
	if e != nil {
		return nil, trail.Errors{trail.NewError(codeSyntax, trail.NotRun, "text can't be read: %v", e).WithPlace("/")}
	}
	l = checkReferences(t)
	if len(l) > 0 {
		return nil, l
	}
	return t, nil
}

// Find returns the service with the given name, or nil if there is none.
func Find(text *wire.Text, name string) *wire.Service {
	for _, s := range text.GetServices() {
		if s.GetName() == name {
			return s
		}
	}
	return nil
}

func checkSchema(document any) trail.Errors {
	e := schema().Validate(document)
	var v *jsonschema.ValidationError
	if !errors.As(e, &v) {
		return nil
	}
	p := message.NewPrinter(language.English)
	return innermostErrors(v, p, nil)
}

// innermostErrors appends the failures without causes to found, because only they
// have the exact location of a fault.
func innermostErrors(failure *jsonschema.ValidationError, printer *message.Printer, found trail.Errors) trail.Errors {
	if len(failure.Causes) == 0 {
		a := "/" + strings.Join(failure.InstanceLocation, "/")
		return append(found, trail.NewError(codeShape, trail.NotRun, "%s", failure.ErrorKind.LocalizedString(printer)).WithPlace(a))
	}
	for _, w := range failure.Causes {
		found = innermostErrors(w, printer, found)
	}
	return found
}
