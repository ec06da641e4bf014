package shift_test

import (
	"fmt"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/shift"
)

// A seat may serve two more requests of a window outside their home region
// than in the window before; the third has to be refused or stay at home.
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
