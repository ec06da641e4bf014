package scenarios

import (
	"fmt"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// watchInterval is the pause between two status requests to an entry instance.
const watchInterval = 200 * time.Millisecond

// cmdWatch polls the configuration version of every entry instance until the
// script ends. "audit" fails if a version decreased, including across restarts of
// the process: watch
func cmdWatch(s *scenario, _ *testscript.TestScript, a *arguments) error {
	if err := a.done(); err != nil {
		return err
	}
	for _, in := range s.testbed.Deployment().EntryInstances {
		go s.watchEntry(in.ID)
	}
	return nil
}

func (s *scenario) watchEntry(id string) {
	highest := uint64(0)
	for s.ctx.Err() == nil {
		st, err := s.status(id)
		if err == nil && st.State == "ready" && st.ConfigVersion < highest {
			s.mu.Lock()
			s.versionRegressions = append(s.versionRegressions, fmt.Sprintf("%s: version decreased from %d to %d", id, highest, st.ConfigVersion))
			s.mu.Unlock()
		}
		if err == nil {
			highest = max(highest, st.ConfigVersion)
		}
		time.Sleep(watchInterval)
	}
}

func (s *scenario) observedRegressions() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.versionRegressions...)
}
