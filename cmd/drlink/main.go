// Command drlink runs stand-ins for faulty network links, for tests and the
// demo.
package main

import (
	"context"
	"os"

	"github.com/hashicorp/go-hclog"

	"github.com/dandelionrack/dandelionrack/internal/standin/link"
	"github.com/dandelionrack/dandelionrack/internal/standin/program"
)

func main() {
	os.Exit(program.Run("drlink", "Stand-in for faulty network links.", link.DefaultSettings(), serve))
}

func serve(ctx context.Context, settings link.Settings, log hclog.Logger) error {
	p, err := link.Start(settings)
	if err != nil {
		return err
	}
	for _, l := range p.Links() {
		log.Info("listening", "link", l.Name, "addr", l.Listen, "target", l.Target)
	}
	log.Info("listening", "admin", p.AdminURL())
	<-ctx.Done()
	return p.Close()
}
