// Package credential loads TLS certificates from files and reloads them when
// the files change, so that they can be renewed without a restart.
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

// checkInterval is the least time between two checks of the files for changes; handshakes in between use the
// certificates that were loaded last.
const checkInterval = time.Second

// Files names the files of a Store. CA may be empty.
type Files struct {
	Cert, Key, CA string
}

// Store holds a certificate with its key and the CA certificates that verify the other side. It is safe for concurrent use.
type Store struct {
	files         Files
	onReloadError func(error)

	mu sync.Mutex // guards the fields below
	// cert and caPool are from the last load that succeeded.
	cert   *tls.Certificate
	caPool *x509.CertPool
	// modTime is the newest modification time of the loaded files, lastCheck the time of the last check for changes.
	modTime, lastCheck time.Time
}

// Open loads the files. If a later reload fails, the store keeps the certificates it has and passes the error to
// onReloadError, which may be nil.
func Open(f Files, onReloadError func(error)) (*Store, error) {
	s := &Store{files: f, onReloadError: onReloadError}
	modTime, err := s.newestModTime()
	if err != nil {
		return nil, err
	}
	if err := s.load(modTime); err != nil {
		return nil, err
	}
	return s, nil
}

// newestModTime returns the newest modification time of the files.
func (s *Store) newestModTime() (time.Time, error) {
	var newest time.Time
	for _, name := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return newest, fmt.Errorf("check TLS file %s: %w", name, err)
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

// load reads all files and leaves the store unchanged if one of them is invalid. The caller holds s.mu, except in Open.
func (s *Store) load(modTime time.Time) error {
	var cert *tls.Certificate
	if s.files.Cert != "" {
		c, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
		if err != nil {
			return fmt.Errorf("read certificate %s with key %s: %w", s.files.Cert, s.files.Key, err)
		}
		cert = &c
	}
	var caPool *x509.CertPool
	if s.files.CA != "" {
		b, err := os.ReadFile(s.files.CA)
		if err != nil {
			return fmt.Errorf("read CA file: %w", err)
		}
		caPool = x509.NewCertPool()
		if !caPool.AppendCertsFromPEM(b) {
			return fmt.Errorf("read CA file %s: no PEM certificate found", s.files.CA)
		}
	}
	s.cert, s.caPool, s.modTime = cert, caPool, modTime
	return nil
}

// current returns the certificate and the CA pool, and reloads them first if the files have changed since the last check.
func (s *Store) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.lastCheck) >= checkInterval {
		s.lastCheck = now
		s.reloadIfChanged()
	}
	return s.cert, s.caPool
}

// reloadIfChanged loads the files if they have changed. The caller holds s.mu.
func (s *Store) reloadIfChanged() {
	modTime, err := s.newestModTime()
	if err == nil && !modTime.Equal(s.modTime) {
		err = s.load(modTime)
	}
	if err != nil && s.onReloadError != nil {
		s.onReloadError(err)
	}
}

// Server returns a server configuration with the store's certificate. If the store has a CA file, clients are asked for
// certificates according to auth.
func (s *Store) Server(auth tls.ClientAuthType) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, caPool := s.current()
			if cert == nil {
				return nil, errors.New("no server certificate is configured")
			}
			c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}}
			if caPool != nil {
				c.ClientCAs, c.ClientAuth = caPool, auth
			}
			return c, nil
		},
	}
}

// Client returns a configuration for connections to the server with the given name or IP address. It verifies the
// server's certificate against the CA pool and the name, and presents the store's certificate, if there is one.
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
		// The CA pool may be reloaded while the process runs, so VerifyConnection verifies the certificate against the
		// current pool. Without a CA file it uses the system's pool.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return s.verifyServer(name, state) },
	}
}

// verifyServer verifies a server's certificate chain and its name. The caller passes the name, because
// state.ServerName is empty for IP addresses.
func (s *Store) verifyServer(name string, state tls.ConnectionState) error {
	_, caPool := s.current()
	if len(state.PeerCertificates) == 0 {
		return errors.New("server presented no certificate")
	}
	opts := x509.VerifyOptions{Roots: caPool, DNSName: name, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	if _, err := state.PeerCertificates[0].Verify(opts); err != nil {
		return fmt.Errorf("verify certificate of %s: %w", name, err)
	}
	return nil
}
