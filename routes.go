package trail

import (
	"context"

	"bulrushtrail.example/trail/internal/state/rules"
)

// Routes gives the routes of the configuration that a process has in force.
type Routes interface {
	// Table returns the configuration in force, nil before the first one.
	Table() *rules.Table
	// Refresh reads the newest configuration from the platform, also through another
	// process, and puts it in force. It returns nil only if Table then has all changes
	// that the platform had acknowledged when Refresh was called.
	Refresh(ctx context.Context) error
}
