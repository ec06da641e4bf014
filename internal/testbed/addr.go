package testbed

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/go-faster/errors"
)

var addrCount atomic.Int32

// FreeAddr returns an address for a process to listen on. Each call uses another
// loopback IP address: on 127.0.0.1 an outgoing connection, or a concurrent run
// of the same tests, could take the port before the process listens. The process
// id selects the network, so that concurrent test runs seldom share addresses.
func FreeAddr() (string, error) {
	const (
		firstNetwork   = 64
		networks       = 180 // 127.64.0.0/16 to 127.243.0.0/16
		hostsPerSubnet = 250
	)
	n := int(addrCount.Add(1))
	ip := fmt.Sprintf("127.%d.%d.%d", firstNetwork+os.Getpid()%networks, n/hostsPerSubnet%hostsPerSubnet, n%hostsPerSubnet+1)
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", errors.Wrap(err, "free address")
	}
	defer l.Close()
	return l.Addr().String(), nil
}
