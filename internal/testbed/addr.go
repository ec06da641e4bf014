package testbed

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/go-faster/errors"
)

var addrs atomic.Int32

// FreeAddr returns an address for a process to listen on. Each has an IP address
// of its own: an outgoing connection may take a port of 127.0.0.1 before the
// process listens, and so may another run of the same tests.
func FreeAddr() (string, error) {
	const (
		firstNetwork = 64
		networks     = 180 // of 127.64.0.0 and the following
		perRange     = 250
	)
	n := int(addrs.Add(1))
	ip := fmt.Sprintf("127.%d.%d.%d", firstNetwork+os.Getpid()%networks, n/perRange%perRange, n%perRange+1)
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", errors.Wrap(err, "free address")
	}
	defer l.Close()
	return l.Addr().String(), nil
}
