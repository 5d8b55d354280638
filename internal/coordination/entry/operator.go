package entry

import (
	"context"
	"encoding/json"
	"time"

	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/oapi"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// drainTimeout bounds the time until a process confirms a drain request.
const drainTimeout = 2 * time.Second

// serviceLoad is the JSON form of the load of one service at one scheduler.
type serviceLoad struct {
	Scheduler       string `json:"scheduler"`
	Service         string `json:"service"`
	Runners         int32  `json:"runners"`
	FreeOnlineSlots int32  `json:"free-online-slots"`
	QueuedOnline    int32  `json:"queued-online"`
	QueuedBatch     int32  `json:"queued-batch"`
	ExpectedWaitMs  int64  `json:"expected-wait-ms"`
}

// GetStatus returns the view of the system that this entry has: configuration
// version, members, hosts and loads.
func (s *Entry) GetStatus(context.Context) (*oapi.Status, error) {
	v := s.views.Latest()
	m, e := rawJSONList(v.GetMembers())
	if e != nil {
		return nil, e
	}
	h, e := rawJSONList(v.GetHosts())
	if e != nil {
		return nil, e
	}
	l := []serviceLoad{}
	for _, r := range s.loadReports() {
		for _, k := range r.GetServices() {
			l = append(l, serviceLoad{
				Scheduler:       r.GetMemberId(),
				Service:         k.GetService(),
				Runners:         k.GetRunners(),
				FreeOnlineSlots: k.GetFreeOnlineSlots(),
				QueuedOnline:    k.GetQueuedOnline(),
				QueuedBatch:     k.GetQueuedBatch(),
				ExpectedWaitMs:  k.GetExpectedWaitMs(),
			})
		}
	}
	d, e := json.Marshal(l)
	if e != nil {
		return nil, e
	}
	return &oapi.Status{ConfigMinusVersion: v.GetConfig().GetVersion(), Members: m, Hosts: h, Loads: d}, nil
}

// rawJSONList returns the messages as a JSON array.
func rawJSONList[M proto.Message](messages []M) (oapi.RawJSON, error) {
	r := make([]json.RawMessage, 0, len(messages))
	for _, m := range messages {
		d, e := rawJSON(m)
		if e != nil {
			return nil, e
		}
		r = append(r, json.RawMessage(d))
	}
	return json.Marshal(r)
}

// ListJobs returns the jobs of all callers.
func (s *Entry) ListJobs(ctx context.Context) (*oapi.BatchList, error) {
	l, e := s.callerJobs(ctx, "")
	if e != nil {
		return nil, e
	}
	return batchList(l, false), nil
}

// CancelJob cancels the job of any caller.
func (s *Entry) CancelJob(ctx context.Context, params oapi.CancelJobParams) (*oapi.Batch, error) {
	return s.cancel(ctx, params.BatchID, "")
}

// DrainMember requests a process to shut down gracefully.
func (s *Entry) DrainMember(ctx context.Context, params oapi.DrainMemberParams) (oapi.RawJSON, error) {
	for _, m := range s.views.Latest().GetMembers() {
		if m.GetId() == params.MemberID {
			return s.requestDrain(ctx, m)
		}
	}
	return nil, trail.NewError("unknown-member", trail.NotRun, "there is no member %q", params.MemberID)
}

func (s *Entry) requestDrain(ctx context.Context, member *wire.Member) (oapi.RawJSON, error) {
	n, e := s.mesh.Open(ctx, member.GetPeerAddress(), wire.Open_builder{Drain: &wire.DrainRequest{}}.Build())
	if e != nil {
		return nil, trail.WrapError(e, "member-unreachable", trail.VerdictOf(e), "member %s is unreachable", member.GetId()).WithRetryAfter(retryAfter)
	}
	defer n.Close()
	_ = n.SetDeadline(time.Now().Add(drainTimeout))
	r := &wire.DrainReply{}
	e = n.Recv(r)
	if e != nil {
		return nil, trail.WrapError(e, "member-unreachable", trail.MayHaveRun, "member %s did not answer", member.GetId()).WithRetryAfter(retryAfter)
	}
	if !r.GetAccepted() {
		return nil, trail.NewError("drain-refused", trail.NotRun, "member %s refuses to shut down now", member.GetId())
	}
	return oapi.RawJSON(`{"accepted":true}`), nil
}
