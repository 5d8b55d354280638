package progrm

import "github.com/peterbourgon/ff/v3/ffcli"

// The commands of the backend servers' stand-ins and of the load tool.
var _ = []func() *ffcli.Command{engine, plain, load}
