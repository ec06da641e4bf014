package admission_test

import (
	"fmt"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/admission"
)

// Two entry instances split the slots of a backend server by a fixed rule and
// then admit requests without communicating.
func Example() {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	instances := []string{"dar-1-entry-1", "dar-1-entry-2"}
	share := admission.Share(3, "salio-1", instances, "dar-1-entry-1")
	fmt.Println("shares add up:", share+admission.Share(3, "salio-1", instances, "dar-1-entry-2") == 3)

	ctl := admission.New(admission.Config{NoPredecessor: true, SlowStart: -1})
	ctl.SetServers(now, []admission.Server{{ID: "salio-1", Services: []string{"salio"}, Share: 1, MaxTimeout: 3 * time.Second}})
	deadline := now.Add(2 * time.Second)
	first := ctl.Submit(now, admission.Request{ID: 1, Service: "salio", Deadline: deadline})
	second := ctl.Submit(now, admission.Request{ID: 2, Service: "salio", Deadline: deadline})
	fmt.Println(first.Kind == admission.Admitted, first.Server, second.Kind == admission.Queued)

	// The answer to the first request frees its slot for the second.
	later := now.Add(100 * time.Millisecond)
	for _, e := range ctl.Release(later, 1, time.Time{}) {
		fmt.Println(e.Kind == admission.Granted, e.ID, e.Server, e.Waited)
	}
	// Output:
	// shares add up: true
	// true salio-1 true
	// true 2 salio-1 100ms
}
