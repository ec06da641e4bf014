// Command drbackend runs stand-ins for backend servers, for tests and the
// demo.
package main

import (
	"context"
	"os"

	"github.com/hashicorp/go-hclog"

	"github.com/dandelionrack/dandelionrack/internal/standin/backend"
	"github.com/dandelionrack/dandelionrack/internal/standin/program"
)

func main() {
	os.Exit(program.Run("drbackend", "Stand-ins for backend servers.", backend.DefaultSettings(), serve))
}

func serve(ctx context.Context, settings backend.Settings, log hclog.Logger) error {
	servers, err := backend.Start(settings)
	if err != nil {
		return err
	}
	for _, s := range settings.Servers {
		log.Info("listening", "server", s.ID, "addr", servers.Addr(s.ID))
	}
	log.Info("listening", "admin", servers.AdminURL())
	<-ctx.Done()
	return servers.Close()
}
