package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/oapi"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// Limit of the items of one job. Jobs of 180,000 items must be possible.
	maxItems         = 200_000
	maxCustomIDBytes = 200
	readBufferBytes  = 64 << 10
)

// item is the JSON form of one line of a job input.
type item struct {
	CustomID string `json:"custom_id"`
	Method   string `json:"method"`
	URL      string `json:"url"`
	// A chat request, validated in the same way as one that a caller sends.
	Body oapi.ChatRequest `json:"body"`
}

// inputSummary is the result of a successful validation of a job input.
type inputSummary struct {
	service *wire.Service
	items   int
}

// checkInput validates all lines of a job input, whose items must use the same
// model. The error names the first invalid line.
func (s *Entry) checkInput(caller string, lines io.Reader) (*inputSummary, error) {
	b := bufio.NewReaderSize(lines, readBufferBytes)
	n := &inputSummary{}
	m := map[string]int{}
	for i := 1; ; i++ {
		l, e := readLine(b, s.maxBodyBytes)
		if e == io.EOF {
			break
		}
		if e != nil {
			return nil, atLine(e, i)
		}
		if i > maxItems {
			return nil, atLine(badInputError("the input has more than %d lines", maxItems), i)
		}
		e = s.checkLine(caller, l, n, m, i)
		if e != nil {
			return nil, atLine(e, i)
		}
	}
	if n.items == 0 {
		return nil, badInputError("the input has no lines")
	}
	return n, nil
}

func badInputError(format string, args ...any) *trail.Error {
	return trail.NewError("bad-input", trail.NotRun, format, args...)
}

// atLine adds the line number to an error about the input. Other errors come
// from reading it and are returned unchanged.
func atLine(err error, line int) error {
	var f *trail.Error
	if errors.As(err, &f) && f.Code() == "bad-input" {
		return f.WithPlace(fmt.Sprintf("line %d", line))
	}
	return err
}

// readLine returns the next line without its line end, and io.EOF after the last
// one. The input may end with or without a line end.
func readLine(reader *bufio.Reader, limit int64) ([]byte, error) {
	var l []byte
	for {
		p, e := reader.ReadSlice('\n')
		if int64(len(l)+len(p)) > limit {
			return nil, badInputError("the line has more than %d bytes", limit)
		}
		l = append(l, p...)
		switch {
		case e == nil:
			return bytes.TrimRight(l, "\r\n"), nil
		case errors.Is(e, bufio.ErrBufferFull):
		case e == io.EOF && len(l) > 0:
			return l, nil
		default:
			return nil, e
		}
	}
}

// checkLine validates a line and adds it to the summary. linesByID holds the
// line numbers of the custom ids of the lines before.
func (s *Entry) checkLine(caller string, line []byte, summary *inputSummary, linesByID map[string]int, lineNumber int) error {
	var t item
	e := json.Unmarshal(line, &t)
	if e != nil {
		return badInputError("the line is not a JSON object of the expected form: %s", e)
	}
	e = t.validate()
	if e != nil {
		return e
	}
	if k := linesByID[t.CustomID]; k > 0 {
		return badInputError("custom_id %q stands in line %d too", t.CustomID, k)
	}
	linesByID[t.CustomID] = lineNumber
	v := s.findService(modelKind, t.Body.Model, caller)
	if v == nil {
		return badInputError("there is no model %q", t.Body.Model)
	}
	if summary.service != nil && summary.service.GetName() != v.GetName() {
		return badInputError("model %q differs from that of the lines before, %q", t.Body.Model, summary.service.GetName())
	}
	summary.service = v
	summary.items++
	return nil
}

// validate checks the fields of the line, without regard to other lines or to
// the configuration.
func (t *item) validate() error {
	switch {
	case t.CustomID == "":
		return badInputError("custom_id is missing")
	case len(t.CustomID) > maxCustomIDBytes:
		return badInputError("custom_id has more than %d bytes", maxCustomIDBytes)
	case t.Method != "POST":
		return badInputError("method is %q, not \"POST\"", t.Method)
	case t.URL != chatPath:
		return badInputError("url is %q, not %q", t.URL, chatPath)
	case t.Body.Stream.Value:
		return badInputError("body.stream is true, but items are answered whole")
	}
	e := t.Body.Validate()
	if e != nil {
		return badInputError("body is not a chat request: %s", e)
	}
	return nil
}
