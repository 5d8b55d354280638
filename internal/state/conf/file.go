package conf

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"

	trail "bulrushtrail.example/trail"
)

// ParseFile is a configuration file parser for ff. The file is one JSON object
// whose keys are flag names. All unknown keys and invalid values are reported
// together.
func ParseFile(file io.Reader, set func(name, value string) error) error {
	d := json.NewDecoder(file)
	d.UseNumber()
	var m map[string]any
	e := d.Decode(&m)
	if e != nil {
		return trail.WrapError(e, settingErrorCode, trail.NotRun, "settings file is not a JSON object")
	}
	k := make([]string, 0, len(m))
	for n := range m {
		k = append(k, n)
	}
	slices.Sort(k)
	var l trail.Errors
	for _, n := range k {
		switch v := m[n].(type) {
		case string, bool, json.Number:
			e = set(n, fmt.Sprint(v))
		default:
			e = fmt.Errorf("value is not a string, number or boolean")
		}
		if e != nil {
			l = addFault(l, n, "%v", e)
		}
	}
	return l.OrNil()
}
