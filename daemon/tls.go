package daemon

import (
	"crypto/tls"
	"fmt"
	"net/http"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/credential"
	"github.com/jacinthtiller/jacinthtiller/entry"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/link"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

// noClientCertPaths are served without a client certificate: targets, monitoring and the load balancer have none, and
// operators authenticate with their token.
var noClientCertPaths = map[string]bool{
	"/healthz": true, "/readyz": true, "/metrics": true, wire.ProcAnnounce: true,
	wire.ProcSectionGet: true, wire.ProcSectionApply: true, wire.ProcSectionHistory: true, wire.ProcStatus: true,
	wire.ProcMembers: true, wire.ProcMemberChange: true, wire.ProcMovePrimary: true, wire.ProcTargetLeave: true,
}

// openTLSFiles loads the TLS files that the settings name.
func (p *Process) openTLSFiles() error {
	s := p.settings
	for _, c := range []struct {
		store **credential.Store
		files credential.Files
	}{
		{&p.guestTLS, credential.Files{Cert: s.GuestCertFile, Key: s.GuestKeyFile}},
		{&p.peerTLS, credential.Files{Cert: s.PeerCertFile, Key: s.PeerKeyFile, CA: s.PeerCA}},
		{&p.targetTLS, credential.Files{CA: s.TargetCA}},
	} {
		if c.files == (credential.Files{}) {
			continue
		}
		store, err := credential.Open(c.files, func(err error) {
			p.events.Emit(event.CertificateFailed, event.Fields{"fault": err.Error()})
		})
		if err != nil {
			return fmt.Errorf("open TLS files: %w", err)
		}
		*c.store = store
	}
	return nil
}

// httpClient returns the client for calls to other processes.
func (p *Process) httpClient() *http.Client {
	var opts []wire.HTTPOption
	if p.peerTLS != nil {
		opts = append(opts, wire.WithTLS(p.peerTLS.Client))
	}
	if p.dialer != nil {
		opts = append(opts, wire.WithDialer(p.dialer))
	}
	return wire.NewHTTPClient(opts...)
}

// guestTLSConfig returns the configuration for guests that ask for TLS, or nil if there is no certificate for them.
func (p *Process) guestTLSConfig() *tls.Config {
	if p.guestTLS == nil {
		return nil
	}
	return p.guestTLS.Server(tls.NoClientCert)
}

// serve starts the HTTP service, with TLS if the settings name a certificate.
func (p *Process) serve(mux *http.ServeMux) {
	var handler http.Handler = mux
	if p.peerTLS != nil {
		handler = requireCertificate(mux)
	}
	p.httpServer = &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	listener := p.rpcListener
	if p.peerTLS != nil {
		listener = tls.NewListener(p.rpcListener, p.peerTLS.Server(tls.VerifyClientCertIfGiven))
	}
	p.goroutines.Go(func() { _ = p.httpServer.Serve(listener) })
}

// requireCertificate rejects clients without a verified certificate, except on noClientCertPaths.
func requireCertificate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !noClientCertPaths[r.URL.Path] && (r.TLS == nil || len(r.TLS.VerifiedChains) == 0) {
			http.Error(w, "a client certificate is required", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// startLink creates the server and the opener of links, which carry statements between hosts.
func (p *Process) startLink(self jacinthtiller.Host, views *entry.ViewStore) {
	serverOptions := []link.ServerOption{link.WithEvents(p.events), link.WithMarks(p.owner.Mark)}
	openerOptions := []link.OpenerOption{link.WithLocalMarks(p.owner.Mark)}
	if p.dialer != nil {
		openerOptions = append(openerOptions, link.WithDialer(p.dialer))
	}
	if p.peerTLS != nil {
		serverOptions = append(serverOptions, link.WithServerTLS(p.peerTLS.Server(tls.RequireAndVerifyClientCert)))
		openerOptions = append(openerOptions, link.WithTLS(p.peerTLS.Client))
	}
	p.linkServer = link.NewServer(p.owner.Open, serverOptions...)
	p.linkOpener = link.NewOpener(self.Name, p.owner.Open, func(host string) (string, bool) {
		h, ok := views.View().Hosts[host]
		return h.Link, ok
	}, openerOptions...)
}
