package fleet_test

import (
	"encoding/json"
	"strings"
)

// streamOf reads the events of an answer: the text, and why it is not whole.
// The fault is "CODE VERDICT" of an error event, or tells what is missing.
func streamOf(events string) (text, fault string) {
	var b strings.Builder
	n := false
	for _, l := range strings.Split(events, "\n") {
		d, y := strings.CutPrefix(l, "data: ")
		switch {
		case !y:
			continue
		case n:
			return b.String(), "event after the end: " + d
		case d == "[DONE]":
			n = true
			continue
		}
		var v struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
			Error *struct {
				Code    string `json:"code"`
				Verdict string `json:"verdict"`
			} `json:"error"`
		}
		e := json.Unmarshal([]byte(d), &v)
		if e != nil {
			return b.String(), "event is not JSON: " + d
		}
		if v.Error != nil {
			return b.String(), v.Error.Code + " " + v.Error.Verdict
		}
		for _, c := range v.Choices {
			b.WriteString(c.Delta.Content)
		}
	}
	if !n {
		return b.String(), "no end"
	}
	return b.String(), ""
}
