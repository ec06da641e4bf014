package entry

import (
	"crypto/tls"

	"github.com/go-faster/errors"
)

// load reads the certificate; a nil receiver means no TLS.
func (t *TLSFiles) load() (*tls.Config, error) {
	if t == nil {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "operator certificate")
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
}
