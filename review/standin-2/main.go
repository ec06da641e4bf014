// Command standin2 plays the scripts of the second review: it starts entry instances as
// separate processes, with stand-ins of the platform, backend servers and clients.
package main

import (
	"cmp"
	"fmt"
	"os"
	"time"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(2)
	}
	b, err := newBed(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	code := 2
	switch os.Args[1] {
	case "lost-machines":
		code, err = lostMachines(b, trouble, threeRegions, allButOne, "edge-attiki-b-1")
	case "lost-leaders":
		code, err = lostMachines(b, trouble, oneRegion, leaders, "edge-attiki-b-3")
	case "old-beat":
		code, err = oldBeat(b, trouble)
	case "foreign-entry":
		code, err = foreignEntry(b, trouble, cmp.Or(os.Getenv("LACKS"), "seq"))
	case "slow-reader":
		var pause time.Duration
		if pause, err = time.ParseDuration(cmp.Or(os.Getenv("PAUSE"), "2900ms")); err == nil {
			code, err = slowReader(b, trouble, pause)
		}
	default:
		err = fmt.Errorf("unknown case %q", os.Args[1])
	}
	if err != nil {
		b.rec.say("%v", err)
	}
	b.end()
	b.rec.say("exit %d", code)
	os.Exit(code)
}
