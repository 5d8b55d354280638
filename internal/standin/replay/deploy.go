package replay

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/standin/load"
)

const (
	// The working day that a generated trace squeezes into its length.
	dayLength = 8 * time.Hour
	// Shortest completion window after squeezing, three times the slot time of
	// a long batch item.
	minWindow = 10 * time.Second
	// Deadline of a question that names none, from the services texts.
	defaultDeadline = time.Minute
	queueLength     = 200
)

// deployment is a model service with its runners, as design.md, section 1.7,
// and examples/ have it.
type deployment struct {
	name, service string
	runners       int
	slots         int
	batchShare    int32
	// One-way, between the scheduler and a runner.
	latency time.Duration
}

var deployments = []*deployment{
	{load.Coladores, "asistente-lm", 20, 8, 70, time.Millisecond},
	{load.Kowalchuk, "fit-assistant", 20, 8, 30, 500 * time.Microsecond},
}

// deploymentOf returns the deployment of a model service, or nil.
func deploymentOf(service string) *deployment {
	for _, d := range deployments {
		if d.service == service {
			return d
		}
	}
	return nil
}

// text returns the services text with a queue length.
func (d *deployment) text(queue int32, batchShare int32) *wire.Text {
	return wire.Text_builder{Services: []*wire.Service{wire.Service_builder{
		Name:       &d.service,
		Kind:       proto.String("model"),
		BatchShare: &batchShare,
		Limits:     wire.Limits_builder{Slots: proto.Int32(int32(d.slots)), QueueLength: &queue}.Build(),
	}.Build()}}.Build()
}

// host returns the host list's entry of a runner. A restarted runner has
// another address.
func (d *deployment) host(i, start int) *wire.Host {
	return wire.Host_builder{
		Name:    proto.String(hostName(i)),
		Address: proto.String(fmt.Sprintf("127.0.%d.%d:1", start, i+1)),
		Service: &d.service,
		Ready:   proto.Bool(true),
	}.Build()
}

func hostName(i int) string { return fmt.Sprintf("runner-%02d", i+1) }
