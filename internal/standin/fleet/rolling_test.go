package fleet_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"bulrushtrail.example/trail/internal/standin/fleet"
)

const rollingItems = 600

// P8, every process of the system is stopped with SIGTERM and started again,
// one after the other, while streams, whole questions, reorders and a batch
// run through all entries: no request that was accepted is cut, none is
// refused, and each item of the batch has one result.
func TestRollingRestart(t *testing.T) {
	x := startSmallKeyed(t)
	newOrders(x).serves(t, 1, 2, 3)
	b := balance(t.Context(), x)
	c, f := context.WithCancel(t.Context())
	defer f()
	k := openai.NewClient(option.WithBaseURL(x.EntryURL(1)+"/v1/"), option.WithAPIKey("key-supervisor-bajio"))
	j := submit(t, k)
	var w sync.WaitGroup
	b.drive(c, &w)
	for _, r := range []string{"entry-", "sched-", "depot-"} {
		for _, n := range x.Names(r) {
			b.roll(t, x, n)
		}
	}
	f()
	w.Wait()
	results(t, k, j)
	t.Logf("answered %v, refused %d, cut %d", b.answered, len(b.refused), len(b.cut))
	for _, s := range append(b.refused, b.cut...) {
		t.Error(s)
	}
	e := x.Stop()
	if e != nil {
		t.Error(e)
	}
}

// roll stops a process and starts it again. Streams that began before end
// while it stops.
func (b *balancer) roll(t *testing.T, x *fleet.Fleet, name string) {
	t.Helper()
	var l []opened
	for i := range b.urls {
		for n := range 2 {
			l = append(l, b.open(t, i, fmt.Sprintf("%s %d %d", name, i, n)))
		}
	}
	var w sync.WaitGroup
	for _, o := range l {
		w.Go(func() { b.finish(o) })
	}
	e := x.Terminate(name)
	if e != nil {
		t.Errorf("%s: %v", name, e)
	}
	w.Wait()
	e = x.Restart(t.Context(), name)
	if e != nil {
		t.Fatal(e)
	}
	until(t, func() bool {
		for i := range b.ready {
			if !b.ready[i].Load() {
				return false
			}
		}
		return true
	})
}

func submit(t *testing.T, k openai.Client) string {
	t.Helper()
	var s strings.Builder
	for i := range rollingItems {
		_, _ = fmt.Fprintf(&s, `{"custom_id":"item-%d-","method":"POST","url":"/v1/chat/completions","body":{"model":%q,"max_tokens":20,"messages":[{"role":"user","content":"Restock summary for store %d"}]}}`+"\n", i, modelService, i)
	}
	f, e := k.Files.New(t.Context(), openai.FileNewParams{
		File: openai.File(strings.NewReader(s.String()), "restock.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch,
	})
	if e != nil {
		t.Fatal(e)
	}
	b, e := k.Batches.New(t.Context(), openai.BatchNewParams{
		InputFileID: f.ID, Endpoint: openai.BatchNewParamsEndpointV1ChatCompletions, CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
	if e != nil {
		t.Fatal(e)
	}
	return b.ID
}

// results waits for the end of the batch and checks that each item has one
// result.
func results(t *testing.T, k openai.Client, id string) {
	t.Helper()
	var b *openai.Batch
	until(t, func() bool {
		var e error
		b, e = k.Batches.Get(t.Context(), id)
		return e == nil && b.Status != openai.BatchStatusInProgress && b.Status != openai.BatchStatusValidating && b.Status != openai.BatchStatusFinalizing
	})
	if b.Status != openai.BatchStatusCompleted || b.RequestCounts.Completed != rollingItems {
		t.Fatalf("batch is %s, %d of %d items completed", b.Status, b.RequestCounts.Completed, b.RequestCounts.Total)
	}
	r, e := k.Files.Content(t.Context(), b.OutputFileID)
	if e != nil {
		t.Fatal(e)
	}
	defer r.Body.Close()
	p, e := io.ReadAll(r.Body)
	if e != nil {
		t.Fatal(e)
	}
	for i := range rollingItems {
		n := strings.Count(string(p), fmt.Sprintf(`"custom_id":"item-%d-"`, i))
		if n != 1 {
			t.Errorf("item %d has %d results", i, n)
		}
	}
}
