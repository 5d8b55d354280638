package bulk

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"slices"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/mesh"
)

const (
	// MaxSegmentBytes limits one segment, because it is held in memory until two
	// depots have stored it. Larger files consist of several segments.
	MaxSegmentBytes = 64 << 20
	chunkBytes      = 64 << 10
	defaultCopies   = 2
)

// Client implements trail.BulkStore.
type Client struct {
	dataCentre string
	// Number of copies to store, 1 or 2.
	copies     int
	mesh       *mesh.Mesh
	views      trail.Views
	logger     log.Interface
	operations *prometheus.CounterVec
}

var _ trail.BulkStore = (*Client)(nil)

// New returns a client that prefers depots of the given data centre for the
// first copy and for reads. It stores two copies.
func New(dataCentre string, mesh *mesh.Mesh, views trail.Views, logger log.Interface, registry prometheus.Registerer) *Client {
	return &Client{
		dataCentre: dataCentre, copies: defaultCopies, mesh: mesh, views: views, logger: logger,
		operations: promauto.With(registry).NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_bulk_operations_total",
			Help: "Segments stored and read by result.",
		}, []string{"operation", "result"}),
	}
}

// WithCopies returns a client that stores the given number of copies, limited to
// 1 or 2. One copy is for installations with a single depot; they lose their
// data with its disk.
func (k *Client) WithCopies(copies int) *Client {
	n := *k
	n.copies = min(max(copies, 1), defaultCopies)
	return &n
}

// Put implements trail.BulkStore. The errors have the codes "segment-too-large",
// "depots-unavailable" or "input-broken", and the verdict NotRun.
func (k *Client) Put(ctx context.Context, input io.Reader) (*wire.Segment, error) {
	b, e := io.ReadAll(io.LimitReader(input, MaxSegmentBytes+1))
	if e != nil {
		return nil, trail.WrapError(e, "input-broken", trail.NotRun, "the bytes of a segment could not be read")
	}
	if len(b) > MaxSegmentBytes {
		return nil, trail.NewError("segment-too-large", trail.NotRun, "a segment is larger than %d bytes", MaxSegmentBytes)
	}
	h := sha256.Sum256(b)
	g := &wire.Segment{}
	g.SetId(uuid.NewString())
	g.SetDigest(hex.EncodeToString(h[:]))
	g.SetSizeBytes(int64(len(b)))
	// Ids of the depots that failed.
	x := map[string]bool{}
	for {
		p, e := k.selectDepots(g.GetId(), x)
		if e != nil {
			k.operations.WithLabelValues("put", "refused").Inc()
			return nil, e
		}
		w, f, e := k.storeAt(ctx, p, g, bytes.NewReader(b))
		if e == nil {
			k.operations.WithLabelValues("put", "stored").Inc()
			k.logger.WithFields(log.Fields{"segment": g.GetId(), "bytes": len(b), "depots": w.GetDepots()}).Info("bulk: segment stored")
			return w, nil
		}
		if ctx.Err() != nil {
			return nil, trail.WrapError(ctx.Err(), "cancelled", trail.NotRun, "storing a segment was cancelled")
		}
		x[f] = true
		k.operations.WithLabelValues("put", "retried").Inc()
		k.logger.WithFields(log.Fields{"segment": g.GetId(), "pair": memberIDs(p), "failed": f}).WithError(e).
			Warn("bulk: depot excluded, trying other depots")
	}
}

// Get implements trail.BulkStore. The errors have the code
// "segment-unavailable", or "segment-corrupt" when the digest of a segment that
// is too large to be buffered does not match at its end.
func (k *Client) Get(ctx context.Context, segment *wire.Segment, offset, length int64) (io.ReadCloser, error) {
	r := &reader{client: k, ctx: ctx, segment: segment, untried: k.readCandidates(segment), nextOffset: offset, endOffset: -1}
	if length > 0 {
		r.endOffset = offset + length
	}
	// Whether the whole segment is read and can be verified by its digest.
	w := offset == 0 && (length == 0 || length == segment.GetSizeBytes()) && segment.GetDigest() != ""
	var e error
	var o io.ReadCloser = r
	switch {
	case w && segment.GetSizeBytes() <= maxBufferedBytes:
		o, e = r.readBuffered()
	case w:
		r.digest = sha256.New()
		e = r.openNextCopy()
	default:
		e = r.openNextCopy()
	}
	if e != nil {
		_ = r.Close()
		k.operations.WithLabelValues("get", "failed").Inc()
		return nil, e
	}
	k.operations.WithLabelValues("get", "opened").Inc()
	return o, nil
}

func memberIDs(members []*wire.Member) []string {
	r := make([]string, 0, len(members))
	for _, m := range members {
		r = append(r, m.GetId())
	}
	slices.Sort(r)
	return r
}
