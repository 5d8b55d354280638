//go:build deps

package trail

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/apex/log/handlers/json"
	_ "github.com/google/go-cmp/cmp"
	_ "github.com/google/uuid"
	_ "github.com/openai/openai-go/v3"
	_ "github.com/openai/openai-go/v3/option"
	_ "github.com/peterbourgon/ff/v3"
	_ "github.com/peterbourgon/ff/v3/ffcli"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/common/expfmt"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/rogpeppe/go-internal/txtar"
	_ "github.com/santhosh-tekuri/jsonschema/v6"
	_ "github.com/tmaxmax/go-sse"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/protobuf/testing/protocmp"
	_ "pgregory.net/rapid"
)
