package scenarios

import (
	"fmt"
	"io"
	"net"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	backendstandin "github.com/dandelionrack/dandelionrack/internal/standin/backend"
)

// stalledRequests is enough that their answers, of a few MB each, do not fit into
// the buffers of a connection.
const stalledRequests = 8

// cmdStall opens a caller connection that sends requests and never reads the
// answers: stall ID service=S [bytes=4000000]
func cmdStall(s *scenario, _ *testscript.TestScript, a *arguments) error {
	in, err := s.testbed.EntryInstance(a.positional("entry instance"))
	a.recordError(err)
	service, bytes := a.text("service", ""), int(a.number("bytes", 4_000_000))
	if err := a.done(); err != nil {
		return err
	}
	conn, err := net.Dial("tcp", in.CallerAddr)
	if err != nil {
		return err
	}
	go func() {
		<-s.ctx.Done()
		_ = conn.Close()
	}()
	request := fmt.Sprintf("GET /v1/call/%s/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s: %d\r\n\r\n",
		service, s.token, backendstandin.BodySizeHeader, bytes)
	_, err = io.WriteString(conn, strings.Repeat(request, stalledRequests))
	return err
}
