package entry

import (
	"crypto/tls"
	"crypto/x509"
	"os"

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

// load returns the client and the server side; a nil receiver means no TLS.
// Both sides verify the other's certificate.
func (t *PeerTLSFiles) load() (client, server *tls.Config, err error) {
	if t == nil {
		return nil, nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, nil, errors.Wrap(err, "peer certificate")
	}
	data, err := os.ReadFile(t.CAFile)
	if err != nil {
		return nil, nil, errors.Wrap(err, "peer certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, nil, errors.Errorf("peer certificate authority: %s holds no certificate", t.CAFile)
	}
	client = &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ServerName:   t.ServerName,
		MinVersion:   tls.VersionTLS13,
	}
	server = &tls.Config{
		Certificates: []tls.Certificate{cert},
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
	return client, server, nil
}
