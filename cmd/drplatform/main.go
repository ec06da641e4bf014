// Command drplatform is the stand-in for the platform's table service, object
// store and instance list, for tests and the demo.
package main

import (
	"context"
	"os"

	"github.com/hashicorp/go-hclog"

	"github.com/dandelionrack/dandelionrack/internal/standin/platform"
	"github.com/dandelionrack/dandelionrack/internal/standin/program"
)

func main() {
	os.Exit(program.Run("drplatform", "Stand-in for the platform's services.", platform.DefaultSettings(), serve))
}

func serve(ctx context.Context, settings platform.Settings, log hclog.Logger) error {
	s, err := platform.Start(settings)
	if err != nil {
		return err
	}
	log.Info("listening", "addr", s.Addr())
	<-ctx.Done()
	return s.Close()
}
