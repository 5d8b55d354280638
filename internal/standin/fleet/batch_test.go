package fleet_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/google/go-cmp/cmp"
	"github.com/openai/openai-go/v3"
)

// items is the input of a batch: the body of each item by its custom id, and
// the ids in order.
type items struct {
	ids    []string
	bodies map[string]string
}

func (k *items) add(id, body string) {
	if k.bodies == nil {
		k.bodies = map[string]string{}
	}
	k.ids = append(k.ids, id)
	k.bodies[id] = body
}

// input is the file of the batch API.
func (k *items) input() string {
	var b strings.Builder
	for _, i := range k.ids {
		_, _ = fmt.Fprintf(&b, `{"custom_id":%q,"method":"POST","url":"/v1/chat/completions","body":%s}`+"\n", i, k.bodies[i])
	}
	return b.String()
}

// submit uploads and creates the batch through an entry.
func (s *small) submit(entry int, k *items) (*openai.Batch, error) {
	c := s.client(entry)
	f, e := c.Files.New(s.t.Context(), openai.FileNewParams{
		File:    openai.File(strings.NewReader(k.input()), "restock.jsonl", "application/jsonl"),
		Purpose: openai.FilePurposeBatch,
	})
	if e != nil {
		return nil, e
	}
	return c.Batches.New(s.t.Context(), openai.BatchNewParams{
		InputFileID:      f.ID,
		Endpoint:         openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
}

// resubmit sends the batch again through an entry until that accepts it, and
// fails the test when it becomes another job.
func (s *small) resubmit(entry int, k *items, id string) {
	s.t.Helper()
	s.until(fmt.Sprintf("entry %d accepts the batch again", entry), func() bool {
		b, e := s.submit(entry, k)
		if e == nil && b.ID != id {
			s.t.Fatalf("batch %s submitted again became %s", id, b.ID)
		}
		return e == nil
	})
}

// batch returns the state of a batch, nil when the entry gives none now.
func (s *small) batch(entry int, id string) *openai.Batch {
	c := s.client(entry)
	b, e := c.Batches.Get(s.t.Context(), id)
	if e != nil {
		return nil
	}
	return b
}

// completes waits until n more items than before are completed.
func (s *small) completes(entry int, id string, n int64) {
	s.t.Helper()
	w := int64(-1)
	s.until(fmt.Sprintf("%d more items are completed", n), func() bool {
		b := s.batch(entry, id)
		if b == nil {
			return false
		}
		if w < 0 {
			w = b.RequestCounts.Completed
		}
		return b.RequestCounts.Completed >= w+n
	})
}

// finished waits until the batch is final and returns it.
func (s *small) finished(entry int, id string) *openai.Batch {
	s.t.Helper()
	var o *openai.Batch
	s.until("batch is final", func() bool {
		b := s.batch(entry, id)
		if b == nil {
			return false
		}
		switch b.Status {
		case openai.BatchStatusCompleted, openai.BatchStatusFailed, openai.BatchStatusCancelled, openai.BatchStatusExpired:
			o = b
		}
		return o != nil
	})
	return o
}

// results reads a file of results through an entry: the texts by custom id, or
// the code of the error.
func (s *small) results(entry int, file string) map[string][]string {
	s.t.Helper()
	c := s.client(entry)
	r, e := c.Files.Content(s.t.Context(), file)
	if e != nil {
		s.t.Fatalf("entry %d: results can't be read: %v", entry, e)
	}
	defer r.Body.Close()
	o := map[string][]string{}
	d := json.NewDecoder(bufio.NewReader(r.Body))
	for {
		var v struct {
			CustomID string `json:"custom_id"`
			Response *struct {
				Body json.RawMessage `json:"body"`
			} `json:"response"`
			Error *struct {
				Code string `json:"code"`
			} `json:"error"`
		}
		e = d.Decode(&v)
		if e == io.EOF {
			return o
		}
		switch {
		case e != nil:
			s.t.Fatalf("entry %d: results can't be read: %v", entry, e)
		case v.Error != nil:
			o[v.CustomID] = append(o[v.CustomID], "error "+v.Error.Code)
		case v.Response != nil:
			o[v.CustomID] = append(o[v.CustomID], contentOf(string(v.Response.Body)))
		}
	}
}

// checkOutput compares the results through an entry with the engine's texts of
// the items, each once.
func (s *small) checkOutput(entry int, b *openai.Batch, k *items) {
	s.t.Helper()
	w := map[string][]string{}
	for _, i := range k.ids {
		w[i] = []string{textOf(s.t, k.bodies[i])}
	}
	d := cmp.Diff(w, s.results(entry, b.OutputFileID))
	if d != "" {
		s.t.Errorf("results through entry %d (-want +got):\n%s", entry, d)
	}
}
