// Package credential holds certificates that are read from files and read anew
// when the files change, so that they can be renewed without a restart.
package credential

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// checkEvery is the time between two looks at the files; handshakes in between use what was read last.
const checkEvery = time.Second

// Files names the files of a Store. CA may be empty.
type Files struct {
	Cert, Key, CA string
}

// Store holds a certificate with its key and the authority that signs the other side's. It is safe for concurrent use.
type Store struct {
	files  Files
	failed func(error)

	mu sync.Mutex // guards the fields below
	// cert and authority are the newest that could be read.
	cert      *tls.Certificate
	authority *x509.CertPool
	// changed is the newest modification time of the files that were read, checked when they were last looked at.
	changed, checked time.Time
}

// Open reads the files. Failures to read them anew later are passed to failed, which may be nil; the store then keeps
// what it has.
func Open(f Files, failed func(error)) (*Store, error) {
	s := &Store{files: f, failed: failed}
	changed, err := s.modified()
	if err != nil {
		return nil, err
	}
	if err := s.read(changed); err != nil {
		return nil, err
	}
	return s, nil
}

// modified returns the newest modification time of the files.
func (s *Store) modified() (time.Time, error) {
	var newest time.Time
	for _, name := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return newest, fmt.Errorf("look at %s: %w", name, err)
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

// read reads all files; it changes nothing when one of them is wrong. Callers but Open hold s.mu.
func (s *Store) read(changed time.Time) error {
	var cert *tls.Certificate
	if s.files.Cert != "" {
		c, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
		if err != nil {
			return fmt.Errorf("read certificate %s with key %s: %w", s.files.Cert, s.files.Key, err)
		}
		cert = &c
	}
	var authority *x509.CertPool
	if s.files.CA != "" {
		b, err := os.ReadFile(s.files.CA)
		if err != nil {
			return fmt.Errorf("read authority: %w", err)
		}
		authority = x509.NewCertPool()
		if !authority.AppendCertsFromPEM(b) {
			return fmt.Errorf("read authority %s: it holds no certificate in PEM form", s.files.CA)
		}
	}
	s.cert, s.authority, s.changed = cert, authority, changed
	return nil
}

// current returns the newest certificate and authority.
func (s *Store) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.checked) >= checkEvery {
		s.checked = now
		s.refresh()
	}
	return s.cert, s.authority
}

// refresh reads the files when they have changed; s.mu is held.
func (s *Store) refresh() {
	changed, err := s.modified()
	if err == nil && !changed.Equal(s.changed) {
		err = s.read(changed)
	}
	if err != nil && s.failed != nil {
		s.failed(err)
	}
}

// Server returns a configuration that shows the certificate. With an authority it asks the client for a certificate
// as auth says.
func (s *Store) Server(auth tls.ClientAuthType) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, authority := s.current()
			if cert == nil {
				return nil, errors.New("the server has no certificate")
			}
			c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}}
			if authority != nil {
				c.ClientCAs, c.ClientAuth = authority, auth
			}
			return c, nil
		},
	}
}

// Client returns a configuration for connections to the server of that name or IP address. It checks the server's
// certificate against the authority and the name, and shows the store's certificate, if there is one.
func (s *Store) Client(name string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		ServerName: name,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if cert, _ := s.current(); cert != nil {
				return cert, nil
			}
			return &tls.Certificate{}, nil
		},
		// The authority may change while the process runs, so that the check is made here with the newest one;
		// without an authority it is the system's.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return s.verify(name, state) },
	}
}

// verify checks a server's certificate, its validity and its name. The name in the state is of no use here: it is
// empty for IP addresses.
func (s *Store) verify(name string, state tls.ConnectionState) error {
	_, authority := s.current()
	if len(state.PeerCertificates) == 0 {
		return errors.New("the server shows no certificate")
	}
	opts := x509.VerifyOptions{Roots: authority, DNSName: name, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	if _, err := state.PeerCertificates[0].Verify(opts); err != nil {
		return fmt.Errorf("certificate of %s: %w", name, err)
	}
	return nil
}
