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
	// Typical length of a token of English or Spanish text.
	bytesPerToken = 4
	blockTokens   = 16
	// BlockBytes is the length of prompt text that one cache block covers.
	BlockBytes = blockTokens * bytesPerToken
	// An answer without a token limit in the request has from minAnswer to
	// minAnswer+answerSpread-1 tokens.
	minAnswer    = 16
	answerSpread = 112
	maxAnswer    = 4096
)

// chatForm holds the fields of a chat completion request that the engine uses.
// Error responses to an invalid body contain the name of this type and of the
// types of its fields.
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
	// A string, or a list of parts; parts without text are ignored.
	Content json.RawMessage `json:"content"`
}

type partForm struct {
	Text string `json:"text"`
}

// completionRequest is a parsed chat completion request.
type completionRequest struct {
	model string
	text  string
	// Chained hashes of the complete blocks of text; see Blocks.
	blockHashes []uint64
	seed        uint64
	// Length of the whole answer in tokens.
	answerTokens int
	// The request has a token limit, which sets the length of the answer.
	limited              bool
	stream, includeUsage bool
}

// parseRequest parses the body of a chat completion request.
func parseRequest(body []byte) (*completionRequest, error) {
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
	p := &completionRequest{model: f.Model, text: b.String(), stream: f.Stream, includeUsage: f.StreamOptions.IncludeUsage}
	p.blockHashes = Blocks(p.text)
	p.seed = xxhash.Sum64String(p.text)
	p.answerTokens = minAnswer + int(p.seed%answerSpread)
	n := f.MaxTokens
	if f.MaxCompletion != nil {
		n = f.MaxCompletion
	}
	if n != nil {
		if *n < 1 {
			return nil, errors.New("the limit of tokens is below 1")
		}
		p.answerTokens = min(*n, maxAnswer)
		p.limited = true
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

// promptTokens returns the length of the prompt, rounded up to whole tokens.
func (s *completionRequest) promptTokens() int {
	return (len(s.text) + bytesPerToken - 1) / bytesPerToken
}

// tokenText returns the text of the answer token at index.
func (s *completionRequest) tokenText(index int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], s.seed)
	binary.LittleEndian.PutUint64(b[8:], uint64(index))
	return strconv.FormatUint(xxhash.Sum64(b[:])>>48, 36) + " "
}

// textFrom returns the text of the answer from token offset to the end.
func (s *completionRequest) textFrom(offset int) string {
	var b strings.Builder
	for ; offset < s.answerTokens; offset++ {
		b.WriteString(s.tokenText(offset))
	}
	return b.String()
}

// Text returns the whole text that any engine generates for the body of a chat
// completion request. The text depends only on the messages, its length also on
// the token limit. The error says what is wrong with the body.
func Text(body []byte) (string, error) {
	p, e := parseRequest(body)
	if e != nil {
		return "", e
	}
	return p.textFrom(0), nil
}

// Blocks returns the hashes that identify a prompt in the prefix cache, one for
// each complete block of BlockBytes. Each is the xxhash of the previous hash as
// 8 bytes in little endian (0 for the first), followed by the block.
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
