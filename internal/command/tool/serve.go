package tool

import (
	"context"
	"io"

	"bulrushtrail.example/trail/internal/state/conf"
)

func serve(c context.Context, s *conf.Settings, diagnostics io.Writer) error {
	<-c.Done()
	return nil
}
