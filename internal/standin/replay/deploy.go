package replay

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/standin/load"
)

const (
	// Working day that a generated trace compresses into its length.
	dayLength = 8 * time.Hour
	// Shortest completion window after compression: three times the slot time
	// of a long batch item.
	minWindow = 10 * time.Second
	// Deadline of an online request that sets none, as in the services texts.
	defaultDeadline = time.Minute
	queueLength     = 200
)

// modelDeployment is a model service with its runners. The values are those of
// design.md, section 1.7, and examples/.
type modelDeployment struct {
	name, service string
	runners       int
	slots         int
	batchShare    int32
	// One-way network latency between the scheduler and a runner.
	latency time.Duration
}

var deployments = []*modelDeployment{
	{load.Coladores, "asistente-lm", 20, 8, 70, time.Millisecond},
	{load.Kowalchuk, "fit-assistant", 20, 8, 30, 500 * time.Microsecond},
}

// deploymentOf returns the deployment of a model service, or nil.
func deploymentOf(service string) *modelDeployment {
	for _, d := range deployments {
		if d.service == service {
			return d
		}
	}
	return nil
}

// servicesText returns the services text with the given queue length and batch
// share.
func (d *modelDeployment) servicesText(queue int32, batchShare int32) *wire.Text {
	return wire.Text_builder{Services: []*wire.Service{wire.Service_builder{
		Name:       &d.service,
		Kind:       proto.String("model"),
		BatchShare: &batchShare,
		Limits:     wire.Limits_builder{Slots: proto.Int32(int32(d.slots)), QueueLength: &queue}.Build(),
	}.Build()}}.Build()
}

// hostEntry returns a runner's entry in the host list. A restarted runner gets
// a different address.
func (d *modelDeployment) hostEntry(index, start int) *wire.Host {
	return wire.Host_builder{
		Name:    proto.String(hostName(index)),
		Address: proto.String(fmt.Sprintf("127.0.%d.%d:1", start, index+1)),
		Service: &d.service,
		Ready:   proto.Bool(true),
	}.Build()
}

func hostName(index int) string { return fmt.Sprintf("runner-%02d", index+1) }
