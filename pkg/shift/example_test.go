package shift_test

import (
	"fmt"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/shift"
)

// This entry instance may serve two more requests outside their home region
// than in the previous window; a third one has to be served at home or refused.
func Example() {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	salio := shift.Key{Customer: "hesabu", Service: "salio"}
	limiter := shift.NewLimiter(shift.Config{Start: now, NoPredecessor: true, Instances: 8})
	limiter.SetCap(salio, 2, 10*time.Second)
	for range 3 {
		_, allowed := limiter.Reserve(now, salio, "dar", "mwanza")
		fmt.Println("dar to mwanza:", allowed)
	}
	_, allowed := limiter.Reserve(now, salio, "dar", "dar")
	fmt.Println("at home:", allowed)
	// Output:
	// dar to mwanza: true
	// dar to mwanza: true
	// dar to mwanza: false
	// at home: true
}
