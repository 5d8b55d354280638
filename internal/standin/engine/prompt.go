package engine

import (
	"encoding/binary"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// Usual length of a token of English or Spanish text.
	bytesPerToken = 4
	blockTokens   = 16
	// BlockBytes is the length of prompt text that one cache block covers.
	BlockBytes = blockTokens * bytesPerToken
	// Tokens of an answer whose request names no limit: from minAnswer up to
	// minAnswer+answerSpread-1.
	minAnswer    = 16
	answerSpread = 112
	maxAnswer    = 4096
)

// chatForm is the part of a chat completion request that the engine reads.
type chatForm struct {
	Model         string        `json:"model"`
	Messages      []messageForm `json:"messages"`
	Stream        bool          `json:"stream"`
	MaxTokens     *int          `json:"max_tokens"`
	MaxCompletion *int          `json:"max_completion_tokens"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type messageForm struct {
	Role string `json:"role"`
	// A text, or a list of parts of which those with a text count.
	Content json.RawMessage `json:"content"`
}

type partForm struct {
	Text string `json:"text"`
}

// prompt is a request as the engine runs it.
type prompt struct {
	model string
	text  string
	// Chained hashes of the whole blocks of text.
	blocks []uint64
	seed   uint64
	// Tokens of the whole answer.
	answer int
	// The request's limit cut the answer.
	cut           bool
	stream, usage bool
}

// parse reads the body of a chat completion request.
func parse(body []byte) (*prompt, error) {
	f := chatForm{}
	e := json.Unmarshal(body, &f)
	if e != nil {
		return nil, errors.Wrap(e, "body is not a chat completion request")
	}
	if len(f.Messages) == 0 {
		return nil, errors.New("messages are missing")
	}
	var b strings.Builder
	for i, m := range f.Messages {
		t, e := m.text()
		if e != nil {
			return nil, errors.Wrapf(e, "content of message %d is neither a text nor a list of parts", i)
		}
		b.WriteString(m.Role + ": " + t + "\n")
	}
	p := &prompt{model: f.Model, text: b.String(), stream: f.Stream, usage: f.StreamOptions.IncludeUsage}
	p.blocks = Blocks(p.text)
	p.seed = xxhash.Sum64String(p.text)
	p.answer = minAnswer + int(p.seed%answerSpread)
	n := f.MaxTokens
	if f.MaxCompletion != nil {
		n = f.MaxCompletion
	}
	if n != nil {
		if *n < 1 {
			return nil, errors.New("the limit of tokens is below 1")
		}
		p.answer = min(*n, maxAnswer)
		p.cut = true
	}
	return p, nil
}

func (s messageForm) text() (string, error) {
	if len(s.Content) == 0 || string(s.Content) == "null" {
		return "", nil
	}
	var t string
	if json.Unmarshal(s.Content, &t) == nil {
		return t, nil
	}
	var l []partForm
	e := json.Unmarshal(s.Content, &l)
	for _, p := range l {
		t += p.Text
	}
	return t, e
}

// tokens returns the length of the prompt in tokens.
func (s *prompt) tokens() int {
	return (len(s.text) + bytesPerToken - 1) / bytesPerToken
}

// piece returns the text of token i of the answer.
func (s *prompt) piece(i int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], s.seed)
	binary.LittleEndian.PutUint64(b[8:], uint64(i))
	return strconv.FormatUint(xxhash.Sum64(b[:])>>48, 36) + " "
}

// rest returns the text of the answer from token i on.
func (s *prompt) rest(i int) string {
	var b strings.Builder
	for ; i < s.answer; i++ {
		b.WriteString(s.piece(i))
	}
	return b.String()
}

// Text returns the whole text that every engine generates for the body of a
// chat completion request. It depends on the messages and on the limit of
// tokens, which cuts it. The error names what is wrong with the body.
func Text(body []byte) (string, error) {
	p, e := parse(body)
	if e != nil {
		return "", e
	}
	return p.rest(0), nil
}

// Blocks returns the hashes under which the prefix cache keeps a prompt, one
// for each whole block of BlockBytes: xxhash of the hash before it, 8 bytes in
// little endian (0 for the first), and the block.
func Blocks(text string) []uint64 {
	var l []uint64
	var h uint64
	b := make([]byte, 8+BlockBytes)
	for ; len(text) >= BlockBytes; text = text[BlockBytes:] {
		binary.LittleEndian.PutUint64(b, h)
		copy(b[8:], text)
		h = xxhash.Sum64(b)
		l = append(l, h)
	}
	return l
}
