package entry

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bulrushtrail.example/trail/internal/protocol/oapi"
)

const (
	// Typical number of bytes of JSON per prompt token.
	bytesPerToken = 4
	// Assumed answer tokens of a request that sets no limit.
	defaultAnswerTokens = 256
	// Limits the prefixes that are hashed. Messages after these differ between
	// callers, so that their prefixes would not be shared.
	maxPrefixes = 16
)

// estimateTokens estimates the number of tokens of prompt and answer.
func estimateTokens(request *oapi.ChatRequest, bodyBytes int) int64 {
	n := defaultAnswerTokens
	switch {
	case request.MaxCompletionTokens.Set:
		n = request.MaxCompletionTokens.Value
	case request.MaxTokens.Set:
		n = request.MaxTokens.Value
	}
	return int64(bodyBytes/bytesPerToken) + int64(n)
}

// prefixHashes returns the hashes of the prompt up to the end of each message,
// shortest prefix first.
func prefixHashes(request *oapi.ChatRequest) []uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(request.Model)
	l := make([]uint64, 0, min(len(request.Messages), maxPrefixes))
	for _, m := range request.Messages[:min(len(request.Messages), maxPrefixes)] {
		_, _ = h.WriteString("\x00" + m.Role)
		for _, k := range slices.Sorted(maps.Keys(m.AdditionalProps)) {
			_, _ = h.WriteString("\x00" + k + "\x00")
			_, _ = h.Write(m.AdditionalProps[k])
		}
		l = append(l, h.Sum64())
	}
	return l
}
