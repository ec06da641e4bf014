package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/config"
)

// WindowBurn holds the burn rate of one service over one window.
type WindowBurn struct {
	Window Window `json:"window"`
	Good   int64  `json:"good"`
	Bad    int64  `json:"bad"`
	// BadShare is bad / (good + bad), or 0 without responses.
	BadShare float64 `json:"bad_share"`
	// BurnRate is BadShare / (1 - availability objective); 1 uses up the
	// error budget exactly. It is absent without an objective below 1,
	// because there is no error budget then.
	BurnRate *float64 `json:"burn_rate,omitempty"`
}

// ServiceBurn holds the burn rates of one service over all windows.
type ServiceBurn struct {
	Customer  string           `json:"customer"`
	Service   string           `json:"service"`
	Objective config.Objective `json:"objective"`
	Windows   []WindowBurn     `json:"windows"`
}

// Result holds the burn rates of all services.
type Result struct {
	At       time.Time     `json:"at"`
	Services []ServiceBurn `json:"services"`
	Dropped  int64         `json:"dropped,omitempty"`
}

// Report computes the burn rates of each service of the contracts, and of
// services that were counted but are no longer in any contract.
func Report(snapshot Snapshot, doc *config.Document) Result {
	out := Result{At: snapshot.At, Services: []ServiceBurn{}, Dropped: snapshot.Dropped}
	counted := make(map[seriesKey]map[Window]Counts)
	for _, s := range snapshot.Series {
		counted[seriesKey{customer: s.Customer, service: s.Service}] = s.Windows
	}
	for _, customer := range slices.Sorted(maps.Keys(doc.Contracts)) {
		for _, service := range doc.Contracts[customer].Services {
			key := seriesKey{customer: customer, service: service.Name}
			out.Services = append(out.Services, serviceBurn(key, service.Objective, counted[key]))
			delete(counted, key)
		}
	}
	for key, windows := range counted {
		out.Services = append(out.Services, serviceBurn(key, config.Objective{}, windows))
	}
	slices.SortFunc(out.Services, func(a, b ServiceBurn) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Service, b.Service))
	})
	return out
}

// serviceBurn returns the burn rates of one service. A zero objective means that
// there is none.
func serviceBurn(key seriesKey, objective config.Objective, windows map[Window]Counts) ServiceBurn {
	out := ServiceBurn{Customer: key.customer, Service: key.service, Objective: objective}
	for _, w := range Windows {
		out.Windows = append(out.Windows, windowBurn(w, windows[w], objective.Availability))
	}
	return out
}

func windowBurn(w Window, c Counts, availability float64) WindowBurn {
	out := WindowBurn{Window: w, Good: c.Good, Bad: c.Bad}
	if total := c.Good + c.Bad; total > 0 {
		out.BadShare = float64(c.Bad) / float64(total)
	}
	if availability > 0 && availability < 1 {
		rate := out.BadShare / (1 - availability)
		out.BurnRate = &rate
	}
	return out
}
