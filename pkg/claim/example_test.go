package claim

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
)

// A key runs once; a repeated attempt gets the recorded result. The example uses
// a platform.Table in memory.
func Example() {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	m := NewManager(Config{Self: Incarnation{Entry: "dar-1-entry-1", Number: 1}, Table: newFakeTable()})
	go func() { _ = m.Run(ctx) }()

	key, err := ParseKey(uuid.Must(uuid.NewV7()).String())
	if err != nil {
		fmt.Println(err)
		return
	}
	id := ID{Customer: "hesabu", Service: "weka"}
	fingerprint := FingerprintOf("POST", "/credit", []byte(`{"shillings":500}`))
	for range 2 {
		d := m.Begin(ctx, id, key, fingerprint)
		if d.Verdict != Run {
			fmt.Println(d.Verdict, d.Result.Status)
			continue
		}
		// Dispatch is called right before the request is sent; it fails if the claim
		// is too old.
		if err := d.Ticket.Dispatch(time.Now()); err != nil {
			d.Ticket.NotRun("deadline")
			continue
		}
		fmt.Println("run")
		d.Ticket.Done(Result{Status: 201})
	}
	// Output:
	// run
	// recorded 201
}
