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
	// Items of one job. The stated size is 180,000.
	maxItems       = 200_000
	maxCustomID    = 200
	readBufferSize = 64 << 10
)

// item is one line of a job input.
type item struct {
	CustomID string `json:"custom_id"`
	Method   string `json:"method"`
	URL      string `json:"url"`
	// A chat request. It is checked as one of a caller is.
	Body oapi.ChatRequest `json:"body"`
}

// input is what the check of a job input finds.
type input struct {
	service *wire.Service
	items   int
}

// checkInput reads all lines. The error names the first bad one. All items of
// a job use the same model.
func (s *Entry) checkInput(caller string, r io.Reader) (*input, error) {
	b := bufio.NewReaderSize(r, readBufferSize)
	n := &input{}
	m := map[string]int{}
	for i := 1; ; i++ {
		l, e := readLine(b, s.bodyBytes)
		if e == io.EOF {
			break
		}
		if e != nil {
			return nil, placed(e, i)
		}
		if i > maxItems {
			return nil, placed(badInput("the input has more than %d lines", maxItems), i)
		}
		e = s.checkLine(caller, l, n, m, i)
		if e != nil {
			return nil, placed(e, i)
		}
	}
	if n.items == 0 {
		return nil, badInput("the input has no lines")
	}
	return n, nil
}

func badInput(text string, arguments ...any) *trail.Error {
	return trail.NewError("bad-input", trail.NotRun, text, arguments...)
}

// placed adds the line number to a fault of the input. Other errors come from
// the source of the bytes.
func placed(e error, line int) error {
	var f *trail.Error
	if errors.As(e, &f) && f.Code() == "bad-input" {
		return f.WithPlace(fmt.Sprintf("line %d", line))
	}
	return e
}

// readLine returns the next line without its end, and io.EOF after the last
// one. A line end at the end of the input begins no further line.
func readLine(b *bufio.Reader, limit int64) ([]byte, error) {
	var l []byte
	for {
		p, e := b.ReadSlice('\n')
		if int64(len(l)+len(p)) > limit {
			return nil, badInput("the line has more than %d bytes", limit)
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

// checkLine adds a line to what was found. The lines of the ids seen before
// are in seen.
func (s *Entry) checkLine(caller string, line []byte, n *input, seen map[string]int, number int) error {
	var t item
	e := json.Unmarshal(line, &t)
	if e != nil {
		return badInput("the line is not a JSON object of the expected form: %s", e)
	}
	e = t.check()
	if e != nil {
		return e
	}
	if k := seen[t.CustomID]; k > 0 {
		return badInput("custom_id %q stands in line %d too", t.CustomID, k)
	}
	seen[t.CustomID] = number
	v := s.service(modelKind, t.Body.Model, caller)
	if v == nil {
		return badInput("there is no model %q", t.Body.Model)
	}
	if n.service != nil && n.service.GetName() != v.GetName() {
		return badInput("model %q differs from that of the lines before, %q", t.Body.Model, n.service.GetName())
	}
	n.service = v
	n.items++
	return nil
}

// check finds what is wrong with the line itself.
func (t *item) check() error {
	switch {
	case t.CustomID == "":
		return badInput("custom_id is missing")
	case len(t.CustomID) > maxCustomID:
		return badInput("custom_id has more than %d bytes", maxCustomID)
	case t.Method != "POST":
		return badInput("method is %q, not \"POST\"", t.Method)
	case t.URL != chatPath:
		return badInput("url is %q, not %q", t.URL, chatPath)
	case t.Body.Stream.Value:
		return badInput("body.stream is true, but items are answered whole")
	}
	e := t.Body.Validate()
	if e != nil {
		return badInput("body is not a chat request: %s", e)
	}
	return nil
}
