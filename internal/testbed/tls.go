package testbed

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/entry"
)

// peerName is the DNS name in the certificates of all entry instances.
const peerName = "entry.dandelionrack.test"

// CertificateKind is the kind of certificate that an entry instance presents.
type CertificateKind string

// Kinds of certificates.
const (
	CertificateValid   CertificateKind = "good"
	CertificateExpired CertificateKind = "expired"
	// CertificateOtherCA is signed by another authority, which is also the only
	// one that the process trusts.
	CertificateOtherCA CertificateKind = "foreign"
	// CertificateNone disables TLS.
	CertificateNone CertificateKind = "none"
)

// certAuthority signs the certificates of a testbed.
type certAuthority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string // PEM file of the certificate
}

func newAuthority(dir, name string) (*certAuthority, error) {
	template := certificateTemplate(name, time.Now())
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	a := &certAuthority{dir: dir, cert: template, file: filepath.Join(dir, name+".pem")}
	var err error
	if a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		return nil, err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		return nil, err
	}
	return a, writePEM(a.file, "CERTIFICATE", der)
}

func certificateTemplate(name string, start time.Time) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    start.Add(-time.Minute),
		NotAfter:     start.Add(time.Hour),
	}
}

// issue writes a new certificate and key for an entry instance, valid from about
// start.
func (a *certAuthority) issue(in config.EntryInstance, start time.Time) (certFile, keyFile string, err error) {
	template := certificateTemplate(in.ID, start)
	template.DNSNames = []string{peerName}
	host, _, _ := net.SplitHostPort(in.OperatorAddr)
	template.IPAddresses = []net.IP{net.ParseIP(host)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return "", "", err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return "", "", err
	}
	certFile, keyFile = filepath.Join(a.dir, in.ID+".pem"), filepath.Join(a.dir, in.ID+".key")
	if err := writePEM(certFile, "CERTIFICATE", der); err != nil {
		return "", "", err
	}
	return certFile, keyFile, writePEM(keyFile, "EC PRIVATE KEY", keyDER)
}

func writePEM(file, kind string, der []byte) error {
	return os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}

// addTLS adds a new certificate of a kind to the settings of an entry instance.
// Its peers and operators trust only the testbed's own authority.
func (t *Testbed) addTLS(s *entry.Settings, in config.EntryInstance, kind CertificateKind) error {
	if t.authority == nil || kind == CertificateNone {
		return nil
	}
	signer, start := t.authority, time.Now()
	switch kind {
	case CertificateValid:
	case CertificateExpired:
		start = start.Add(-2 * time.Hour)
	case CertificateOtherCA:
		var err error
		if signer, err = newAuthority(t.opts.WorkDir, "foreign-authority"); err != nil {
			return err
		}
	default:
		return errors.Errorf("unknown kind of certificate %q", kind)
	}
	certFile, keyFile, err := signer.issue(in, start)
	if err != nil {
		return errors.Wrapf(err, "certificate of %s", in.ID)
	}
	s.TLS = &entry.TLSFiles{CertFile: certFile, KeyFile: keyFile}
	s.PeerTLS = &entry.PeerTLSFiles{CertFile: certFile, KeyFile: keyFile, CAFile: signer.file, ServerName: peerName}
	return nil
}

// OperatorURL returns the base URL of the operator API of an entry instance and
// the CA file that verifies its certificate, which is empty without TLS.
func (t *Testbed) OperatorURL(in config.EntryInstance) (url, caFile string) {
	if t.authority == nil {
		return "http://" + in.OperatorAddr, ""
	}
	return "https://" + in.OperatorAddr, t.authority.file
}
