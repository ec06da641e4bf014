package entry

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/go-faster/errors"
)

// load reads the certificate of the operator listener. A nil receiver means no TLS.
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

// verify checks this instance's own certificate in the way that peers do. With a
// certificate that peers reject, the process would appear ready to callers but
// refuse every request that it has to forward.
func (t *PeerTLSFiles) verify(cert tls.Certificate, roots *x509.CertPool) error {
	intermediates := x509.NewCertPool()
	for _, der := range cert.Certificate[1:] {
		if c, err := x509.ParseCertificate(der); err == nil {
			intermediates.AddCert(c)
		}
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		_, err := cert.Leaf.Verify(x509.VerifyOptions{
			Roots:         roots,
			Intermediates: intermediates,
			DNSName:       t.ServerName,
			KeyUsages:     []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// load returns the TLS configurations for outgoing and incoming peer connections.
// Both sides verify the other's certificate. A nil receiver means no TLS.
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
	if err := t.verify(cert, pool); err != nil {
		return nil, nil, errors.Wrapf(err, "peer certificate %s would be refused by other entry instances", t.CertFile)
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
