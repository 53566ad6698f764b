package credential

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
)

// testCA signs certificates for tests.
type testCA struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

func newTestCA(t *testing.T, dir, name string) *testCA {
	a := &testCA{t: t, file: filepath.Join(dir, name+".pem")}
	a.key, _ = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.cert, _ = x509.ParseCertificate(der)
	writePEM(t, a.file, "CERTIFICATE", der)
	return a
}

// issue writes a certificate for 127.0.0.1 with its key and returns their files with the CA file.
func (a *testCA) issue(dir, name string, serial int64) Files {
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	f := Files{Cert: filepath.Join(dir, name+"-cert.pem"), Key: filepath.Join(dir, name+"-key.pem"), CA: a.file}
	k, _ := x509.MarshalECPrivateKey(key)
	writePEM(a.t, f.Cert, "CERTIFICATE", der)
	writePEM(a.t, f.Key, "EC PRIVATE KEY", k)
	return f
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// handshake connects a client to a server and returns the serial number of the server's certificate.
func handshake(server, client *tls.Config) (int64, error) {
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		return 0, err
	}
	var group conc.WaitGroup
	defer group.Wait()
	defer l.Close()
	group.Go(func() {
		if c, err := l.Accept(); err == nil {
			_, _ = io.WriteString(c, "x")
			_ = c.Close()
		}
	})
	c, err := tls.Dial("tcp", l.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	// The server reports a rejected client certificate only after the client has finished its handshake, so the client
	// has to read.
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		return 0, err
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// TestStore guards against connections that are accepted without a valid certificate and against certificates that are
// not reloaded when their files change.
func TestStore(t *testing.T) {
	dir := t.TempDir()
	ca, otherCA := newTestCA(t, dir, "ours"), newTestCA(t, dir, "other")
	open := func(f Files) *Store {
		s, err := Open(f, func(err error) { t.Log(err) })
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	server := ca.issue(dir, "server", 1)
	untrusted := otherCA.issue(dir, "untrusted", 1)
	cases := map[string]struct {
		client   Files
		auth     tls.ClientAuthType
		name     string
		accepted bool
	}{
		"mutual":                       {ca.issue(dir, "client", 1), tls.RequireAndVerifyClientCert, "127.0.0.1", true},
		"client of another CA":         {Files{Cert: untrusted.Cert, Key: untrusted.Key, CA: ca.file}, tls.RequireAndVerifyClientCert, "127.0.0.1", false},
		"client without a certificate": {Files{CA: ca.file}, tls.RequireAndVerifyClientCert, "127.0.0.1", false},
		"certificate not required":     {Files{CA: ca.file}, tls.VerifyClientCertIfGiven, "127.0.0.1", true},
		"server of another CA":         {Files{CA: otherCA.file}, tls.VerifyClientCertIfGiven, "127.0.0.1", false},
		"server of another address":    {Files{CA: ca.file}, tls.VerifyClientCertIfGiven, "10.9.9.9", false},
		"server of another name":       {Files{CA: ca.file}, tls.VerifyClientCertIfGiven, "control.example", false},
		"untrusted certificate given":  {Files{Cert: untrusted.Cert, Key: untrusted.Key, CA: ca.file}, tls.VerifyClientCertIfGiven, "127.0.0.1", false},
	}
	convey.Convey("Both sides verify certificates", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				_, err := handshake(open(server).Server(c.auth), open(c.client).Client(c.name))
				convey.So(err == nil, convey.ShouldEqual, c.accepted)
			})
		}
	})
	convey.Convey("A renewed certificate is used without a restart, and a damaged one is ignored", t, func() {
		s, client := open(ca.issue(dir, "renewed", 10)), open(Files{CA: ca.file}).Client("127.0.0.1")
		got, err := handshake(s.Server(tls.NoClientCert), client)
		convey.So(err, convey.ShouldBeNil)
		convey.So(got, convey.ShouldEqual, 10)

		replaceFiles := func(write func() Files) {
			f := write()
			later := time.Now().Add(time.Minute)
			convey.So(os.Chtimes(f.Cert, later, later), convey.ShouldBeNil)
			s.mu.Lock()
			s.lastCheck = time.Time{}
			s.mu.Unlock()
			got, err = handshake(s.Server(tls.NoClientCert), client)
		}
		replaceFiles(func() Files { return ca.issue(dir, "renewed", 11) })
		convey.So(err, convey.ShouldBeNil)
		convey.So(got, convey.ShouldEqual, 11)
		replaceFiles(func() Files {
			f := s.files
			convey.So(os.WriteFile(f.Cert, []byte("damaged"), 0o600), convey.ShouldBeNil)
			return f
		})
		convey.So(err, convey.ShouldBeNil)
		convey.So(got, convey.ShouldEqual, 11)
	})
	convey.Convey("Missing files are reported", t, func() {
		_, err := Open(Files{Cert: filepath.Join(dir, "none"), Key: server.Key}, nil)
		convey.So(errors.Is(err, os.ErrNotExist), convey.ShouldBeTrue)
	})
}
