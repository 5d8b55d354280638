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

// MaxTextBytes is the largest text that fits into one platform object beside
// its metadata.
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

// Parse reads a services text in JSON. Its error is a trail.Errors with one
// entry for each fault, placed by JSON pointer.
func Parse(text []byte) (*wire.Text, error) {
	if len(text) > MaxTextBytes {
		return nil, trail.Errors{trail.NewError(codeSyntax, trail.NotRun, "text has %d bytes, more than %d", len(text), MaxTextBytes).WithPlace("/")}
	}
	d, e := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if e != nil {
		return nil, trail.Errors{trail.NewError(codeSyntax, trail.NotRun, "text is not JSON: %v", e).WithPlace("/")}
	}
	l := shape(d)
	if len(l) > 0 {
		return nil, l
	}
	t := &wire.Text{}
	// Also rejects duplicate keys, which the schema doesn't see.
	e = protojson.Unmarshal(text, t)
	if e != nil {
		return nil, trail.Errors{trail.NewError(codeSyntax, trail.NotRun, "text can't be read: %v", e).WithPlace("/")}
	}
	l = meaning(t)
	if len(l) > 0 {
		return nil, l
	}
	return t, nil
}

// Find returns the service of a name, nil when there is none.
func Find(t *wire.Text, name string) *wire.Service {
	for _, s := range t.GetServices() {
		if s.GetName() == name {
			return s
		}
	}
	return nil
}

func shape(document any) trail.Errors {
	e := schema().Validate(document)
	var v *jsonschema.ValidationError
	if !errors.As(e, &v) {
		return nil
	}
	p := message.NewPrinter(language.English)
	return leaves(v, p, nil)
}

// leaves collects the innermost failures, which name the exact place.
func leaves(v *jsonschema.ValidationError, p *message.Printer, found trail.Errors) trail.Errors {
	if len(v.Causes) == 0 {
		a := "/" + strings.Join(v.InstanceLocation, "/")
		return append(found, trail.NewError(codeShape, trail.NotRun, "%s", v.ErrorKind.LocalizedString(p)).WithPlace(a))
	}
	for _, w := range v.Causes {
		found = leaves(w, p, found)
	}
	return found
}
