package httpserver

import (
	"net"

	"golang.org/x/net/netutil"
)

func limitConnections(l net.Listener, n int) net.Listener {
	if n <= 0 {
		return l
	}
	return netutil.LimitListener(l, n)
}
