package proxy

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/paths"
	"bulrushtrail.example/trail/internal/protocol/valid"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
)

const (
	// Fronts that are tried for one attempt.
	maxFronts = 2
	// Greatest status of HTTP (RFC 9110, section 15).
	maxStatus = 599
	// Code of an attempt that failed because this front has lost its paths. It says
	// nothing about the backend server.
	codePathLost = "path-lost"
	// Code of the upstream for an attempt without a connection.
	codeUnreachable = "backend-unreachable"
	codeLost        = "backend-lost"
	// Code of an attempt whose response has a status that HTTP does not know.
	codeInvalidAnswer = "answer-invalid"
	// Code of a stream that goes on at a process of which nobody knows which it is.
	codeUnidentified = "backend-unidentified"
)

// Upstream is a trail.Upstream that sends through another front while this one has
// no path to the backend servers.
type Upstream struct {
	// Returns an upstream that sends directly and calls onNotice for each response.
	connect func(onNotice func(server *wire.BackendServer, notice trail.ServerNotice)) trail.Upstream
	direct  trail.Upstream
	monitor *paths.Monitor
	streams trail.StreamOpener
	fronts  func() []string
	// Reports whether the servers of a service tell which process they are.
	reports  func(service string) bool
	onNotice func(server *wire.BackendServer, notice trail.ServerNotice)
	logger   log.Interface
	// Attempts sent through other fronts, by outcome.
	sentTotal *prometheus.CounterVec
	// Attempts of other fronts in progress.
	active atomic.Int64
	// Room for requests by way of other fronts, nil for no limit.
	room trail.Room
}

var _ trail.Upstream = (*Upstream)(nil)

// New returns an upstream that sends through one that connect returns, or through
// one of the fronts at the peer addresses that fronts returns. reports says whether the
// servers of a service tell which process they are. It calls onNotice for what a
// backend server says of itself, also to another front.
func New(connect func(onNotice func(server *wire.BackendServer, notice trail.ServerNotice)) trail.Upstream, monitor *paths.Monitor, streams trail.StreamOpener, fronts func() []string, reports func(service string) bool, onNotice func(server *wire.BackendServer, notice trail.ServerNotice), logger log.Interface, registry prometheus.Registerer) *Upstream {
	return &Upstream{
		connect: connect, direct: connect(onNotice), monitor: monitor, streams: streams, fronts: fronts, reports: reports, onNotice: onNotice, logger: logger,
		sentTotal: promauto.With(registry).NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_proxied_attempts_total",
			Help: "Attempts sent through other fronts, by outcome: answered, or the code of the error.",
		}, []string{"outcome"}),
	}
}

// Send implements trail.Upstream. Its errors are those of the upstream for direct
// attempts, path-lost if this front has lost its paths, answer-invalid, and those of
// the mesh for other fronts.
func (s *Upstream) Send(ctx context.Context, server *wire.BackendServer, request *trail.Request, lastEventID string) (*trail.Response, error) {
	if s.monitor.Lost() {
		return s.sendThrough(ctx, server, request, lastEventID)
	}
	r, e := s.direct.Send(ctx, server, request, lastEventID)
	switch {
	case e == nil:
		r.Body = &directBody{r.Body, s.monitor}
		return r, nil
	case trail.CodeOf(e) == codeUnreachable && s.monitor.Settle(ctx):
		return s.sendThrough(ctx, server, request, lastEventID)
	}
	return nil, markPathLost(e, s.monitor)
}

// markPathLost returns the error of a direct attempt. A connection that is lost
// while this front has no path says nothing about its server.
func markPathLost(err error, monitor *paths.Monitor) error {
	if trail.CodeOf(err) == codeLost && monitor.Lost() {
		return trail.WrapError(err, codePathLost, trail.VerdictOf(err), "no path to the backend servers")
	}
	return err
}

// sendThrough sends an attempt through another front. It tries a second one if the
// first can't be reached, or has no path to the backend servers either.
func (s *Upstream) sendThrough(ctx context.Context, server *wire.BackendServer, request *trail.Request, lastEventID string) (*trail.Response, error) {
	// A front of an earlier version writes the request without a look at it.
	e := valid.Request(request.Method(), request.Target(), request.Host(), request.Header())
	if e != nil {
		return nil, e
	}
	l := s.fronts()
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	e = trail.NewError(codePathLost, trail.NotRun, "no path to the backend servers, and no other front has one")
	for _, a := range l[:min(len(l), maxFronts)] {
		var r *trail.Response
		var d bool
		r, d, e = s.sendTo(ctx, a, server, request, lastEventID)
		if !d {
			s.sentTotal.WithLabelValues(outcomeOf(e)).Inc()
			return r, e
		}
	}
	s.sentTotal.WithLabelValues(outcomeOf(e)).Inc()
	return nil, e
}

func outcomeOf(err error) string {
	if err == nil {
		return "answered"
	}
	return trail.CodeOf(err)
}

// sendTo sends an attempt through the front at an address. another is true if the
// attempt did not run and another front may do better.
func (s *Upstream) sendTo(ctx context.Context, address string, server *wire.BackendServer, request *trail.Request, lastEventID string) (response *trail.Response, another bool, err error) {
	m, e := s.takeRoom(len(request.Body()))
	if e != nil {
		return nil, false, trail.WrapError(e, codePathLost, trail.NotRun, "request not sent to front %s", address)
	}
	n, e := s.streams.Open(ctx, address, wire.Open_builder{Proxy: encodeRequest(server, request, lastEventID)}.Build())
	m()
	if e != nil {
		v := trail.VerdictOf(e)
		return nil, v == trail.NotRun, trail.WrapError(e, codePathLost, v, "front %s did not take the request", address)
	}
	s.logger.WithFields(log.Fields{"request-id": request.ID(), "server": server.GetId(), "peer": address}).Info("proxy: request sent through another front")
	f := context.AfterFunc(ctx, func() { closeNow(n) })
	y := &wire.ProxyReply{}
	e = n.Recv(y)
	if e != nil {
		f()
		closeNow(n)
		return nil, false, brokenError(e, "front %s has not answered", address)
	}
	if !y.HasHead() {
		f()
		closeNow(n)
		d := y.GetEnd()
		s.notice(server, d.GetNotice())
		x := endError(d, address)
		return nil, d.GetCutOff() && trail.VerdictOf(x) == trail.NotRun, x
	}
	h := y.GetHead()
	if h.GetStatus() < http.StatusOK || h.GetStatus() > maxStatus {
		// A front of an earlier version passes on any status.
		f()
		closeNow(n)
		return nil, false, trail.NewError(codeInvalidAnswer, trail.MayHaveRun, "answer through front %s has status %d", address, h.GetStatus())
	}
	s.notice(server, h.GetNotice())
	b := h.GetBorn()
	if b == 0 && server.GetBorn() != 0 && s.reports(server.GetService()) {
		// A front of an earlier version has not asked.
		b = trail.UnknownProcess
	}
	if b == trail.UnknownProcess && lastEventID != "" {
		f()
		closeNow(n)
		return nil, false, trail.NewError(codeUnidentified, trail.MayHaveRun, "front %s does not know which process answers", address)
	}
	return trail.NewResponse(decodeHead(h, &replyBody{stream: n, detach: f, address: address}), b), false, nil
}

// brokenError returns the error of a stream that has failed before its last
// message. The end of the stream must not be taken for that of an answer.
func brokenError(err error, text string, arguments ...any) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return trail.WrapError(err, codePathLost, trail.MayHaveRun, text, arguments...)
}

// closeNow ends a stream at once, also while it is read.
func closeNow(stream *frame.Stream) {
	_ = stream.SetDeadline(time.Unix(1, 0))
	_ = stream.Close()
}

func (s *Upstream) notice(server *wire.BackendServer, notice *wire.ServerNotice) {
	if notice != nil {
		s.onNotice(server, trail.NewServerNotice(notice.GetBorn(), notice.GetLeaving(), notice.GetRequestsPerSecond()))
	}
}

// endError returns the error of an attempt that ended without a complete response.
func endError(end *wire.ProxyEnd, address string) error {
	c := end.GetCode()
	if c == "" {
		return trail.NewError(codePathLost, trail.MayHaveRun, "answer of front %s has no head", address)
	}
	if end.GetCutOff() {
		c = codePathLost
	}
	return trail.WrapError(errors.New(end.GetMessage()), c, trail.VerdictFromProto(end.GetVerdict()), "sent through front %s", address).
		WithRetryAfter(time.Duration(end.GetRetryAfterMs()) * time.Millisecond)
}

func encodeRequest(server *wire.BackendServer, request *trail.Request, lastEventID string) *wire.ProxyRequest {
	q := wire.ProxyRequest_builder{
		Server: proto.String(server.GetId()), Address: proto.String(server.GetAddress()), Born: proto.Int64(server.GetBorn()), Service: proto.String(server.GetService()),
		Id: proto.String(request.ID()), Method: proto.String(request.Method()), Target: proto.String(request.Target()), Host: proto.String(request.Host()),
		Headers: encodeHeader(request.Header()), Body: request.Body(), LastEventId: &lastEventID,
	}
	if d := request.Deadline(); !d.IsZero() {
		q.BudgetMs = proto.Int64(max(time.Until(d).Milliseconds(), 1))
	}
	return q.Build()
}

func encodeHeader(header http.Header) []*wire.Header {
	var l []*wire.Header
	for k, v := range header {
		l = append(l, wire.Header_builder{Name: &k, Values: v}.Build())
	}
	return l
}

func decodeHeader(headers []*wire.Header) http.Header {
	h := http.Header{}
	for _, v := range headers {
		h[v.GetName()] = v.GetValues()
	}
	return h
}

func decodeHead(head *wire.ProxyHead, body *replyBody) *http.Response {
	r := &http.Response{
		StatusCode: int(head.GetStatus()), Header: decodeHeader(head.GetHeaders()),
		ContentLength: head.GetContentLength(), Close: head.GetClose(), Body: body,
	}
	if head.GetChunked() {
		r.TransferEncoding = []string{"chunked"}
	}
	return r
}
