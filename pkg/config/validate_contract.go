package config

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/findings"
)

const (
	// maxTimeout also limits the hold-off, during which the slots of a restarted
	// entry instance stay unused.
	maxTimeout = 10 * time.Minute
	// minShiftWindow gives each of the ten sub-windows 100 ms.
	minShiftWindow = time.Second
	maxShiftWindow = time.Hour
	// maxRate (requests per second) keeps the product of a rate and a window
	// finite.
	maxRate = 1e9
	// maxRetryRatio limits retries to one request in ten.
	maxRetryRatio = 0.1
	// tokenDigestBytes is the length of a SHA-256 digest.
	tokenDigestBytes = 32
)

// ValidateContract adds a finding for each problem of a contract. Paths start
// with prefix. If d is nil, regions are not checked.
func ValidateContract(c *Contract, d *Deployment, list *findings.List, prefix string) {
	checkName(list, joinPath(prefix, "customer"), c.Customer)
	validateTokens(c, list, prefix)
	if len(c.Services) == 0 {
		list.Add(joinPath(prefix, "services"), "needs at least one service")
	}
	names := seen{}
	for i := range c.Services {
		s := &c.Services[i]
		path := joinPath(prefix, fmt.Sprintf("services[%d]", i))
		validateNames(s, names, list, path)
		validateLimits(s, list, path)
		validateHedge(s, list, path)
		validateShiftCap(s.ShiftCap, list, path+".shift_cap")
		validateObjective(s, list, path+".objective")
		validateServiceRegions(s, d, list, path)
	}
}

func validateTokens(c *Contract, list *findings.List, prefix string) {
	path := joinPath(prefix, "token_sha256")
	if len(c.TokenSHA256) == 0 {
		list.Add(path, "needs at least one digest, or no caller is accepted")
	}
	digests := seen{}
	for i, t := range c.TokenSHA256 {
		at := fmt.Sprintf("%s[%d]", path, i)
		raw, err := hex.DecodeString(t)
		if err != nil || len(raw) != tokenDigestBytes || t != strings.ToLower(t) {
			list.Add(at, "must be a SHA-256 digest of 64 lower-case hex digits")
			continue
		}
		digests.add(list, at, t)
	}
}

func validateNames(s *Service, names seen, list *findings.List, path string) {
	checkName(list, path+".name", s.Name)
	names.add(list, path+".name", s.Name)
	for i, alias := range s.Aliases {
		at := fmt.Sprintf("%s.aliases[%d]", path, i)
		checkName(list, at, alias)
		names.add(list, at, alias)
	}
}

func validateLimits(s *Service, list *findings.List, path string) {
	switch s.Priority {
	case PriorityInteractive, PrioritySettle, PriorityDeferred:
	default:
		list.Add(path+".priority", "%q must be %s, %s or %s",
			s.Priority, PriorityInteractive, PrioritySettle, PriorityDeferred)
	}
	switch timeout := s.Timeout.Std(); {
	case timeout == 0 && !s.Idempotent:
		list.Add(path+".timeout", "is missing; an at-most-once service needs it to end an attempt")
	case timeout <= 0:
		list.Add(path+".timeout", "must be above 0")
	case timeout > maxTimeout:
		list.Add(path+".timeout", "must be at most %s", maxTimeout)
	}
	if !inRange(s.RatePerSecond, 0, maxRate) {
		list.Add(path+".rate_per_second", "must be 0 (no limit) or above, at most %v", float64(maxRate))
	}
	if !inRange(s.RetryRatio, 0, maxRetryRatio) {
		list.Add(path+".retry_ratio", "must be from 0 to %v", maxRetryRatio)
	}
}

func validateHedge(s *Service, list *findings.List, path string) {
	at := path + ".hedge_after"
	switch {
	case s.HedgeAfter < 0:
		list.Add(at, "must be 0 (off) or above")
	case s.HedgeAfter > 0 && !s.Idempotent:
		list.Add(at, "must be 0: a hedge would run an at-most-once request twice")
	case s.HedgeAfter > 0 && s.HedgeAfter >= s.Timeout:
		list.Add(at, "must be below timeout")
	}
}

func validateShiftCap(c ShiftCap, list *findings.List, path string) {
	if !inRange(c.Share, 0, 1) {
		list.Add(path+".share", "must be from 0 to 1")
	}
	if w := c.Window.Std(); w < minShiftWindow || w > maxShiftWindow {
		list.Add(path+".window", "must be from %s to %s", minShiftWindow, maxShiftWindow)
	}
	if !inRange(c.Rate, 0, maxRate) || (c.Rate == 0 && c.Share > 0) {
		list.Add(path+".rate", "must be above 0 and at most %v", float64(maxRate))
	}
}

func validateObjective(s *Service, list *findings.List, path string) {
	if a := s.Objective.Availability; !inRange(a, 0, 1) || a == 0 || a == 1 {
		list.Add(path+".availability", "must be above 0 and below 1, such as 0.999")
	}
	if l := s.Objective.Latency; l <= 0 || (s.Timeout > 0 && l > s.Timeout) {
		list.Add(path+".latency", "must be above 0 and at most timeout")
	}
}

func validateServiceRegions(s *Service, d *Deployment, list *findings.List, path string) {
	used := seen{}
	for i, name := range s.Regions {
		at := fmt.Sprintf("%s.regions[%d]", path, i)
		used.add(list, at, name)
		if d != nil && !slices.Contains(d.Regions, Region{Name: name}) {
			list.Add(at, "region %q is not defined", name)
		}
	}
}

// inRange reports whether v is from low to high. It is false for NaN.
func inRange(v, low, high float64) bool { return v >= low && v <= high }
