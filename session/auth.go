package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/jacinthtiller/jacinthtiller/document"
)

const saslMechanism = "SCRAM-SHA-256"

// authenticate runs SCRAM-SHA-256. A role that does not exist takes the same path
// with a verifier that matches no password.
func (h *handshake) authenticate(name string) (document.Role, document.Team, error) {
	role, team, known := h.server.directory().Role(name)
	// The decoy is made for every role, so that timing does not reveal whether a role exists.
	decoy, err := document.ParseVerifier(h.server.decoyVerifier(name))
	if err != nil {
		return role, team, fmt.Errorf("verifier of an unknown role: %w", err)
	}
	stored, err := document.ParseVerifier(role.Verifier)
	if err != nil {
		known, stored = false, decoy
	}
	ok, err := h.verifyPassword(stored)
	if err != nil {
		return role, team, err
	}
	if !ok || !known {
		return role, team, newFatalError(codePassword, "password authentication failed for user %q", name)
	}
	return role, team, nil
}

// decoyVerifier returns a verifier that depends only on the name, like that of a real role, and matches no password.
func (s *Server) decoyVerifier(name string) string {
	part := func(purpose string) []byte {
		h := hmac.New(sha256.New, s.decoySeed[:])
		_, _ = h.Write([]byte(purpose + "\x00" + name))
		return h.Sum(nil)
	}
	b := base64.StdEncoding
	return fmt.Sprintf("SCRAM-SHA-256$4096:%s$%s:%s", b.EncodeToString(part("salt")[:16]),
		b.EncodeToString(part("stored")), b.EncodeToString(part("server")))
}

// verifyPassword reports whether the guest knows the password.
func (h *handshake) verifyPassword(stored scram.StoredCredentials) (bool, error) {
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
	if err != nil {
		return false, fmt.Errorf("start SCRAM: %w", err)
	}
	conversation := server.NewConversation()
	h.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{saslMechanism}})
	m, err := h.exchange(pgproto3.AuthTypeSASL)
	if err != nil {
		return false, err
	}
	first, ok := m.(*pgproto3.SASLInitialResponse)
	if !ok || first.AuthMechanism != saslMechanism {
		return false, newFatalError(codeProtocol, "the guest chose no offered SASL mechanism")
	}
	challenge, err := conversation.Step(string(first.Data))
	if err != nil {
		return false, newFatalError(codeProtocol, "malformed SCRAM message")
	}
	h.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	m, err = h.exchange(pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return false, err
	}
	last, ok := m.(*pgproto3.SASLResponse)
	if !ok {
		return false, newFatalError(codeProtocol, "expected a SASL response")
	}
	proof, err := conversation.Step(string(last.Data))
	if err != nil || !conversation.Valid() {
		return false, nil //nolint:nilerr // a wrong proof is an answer, not a failure
	}
	h.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(proof)})
	return true, h.backend.Flush()
}

// exchange flushes the output and returns the guest's next message.
func (h *handshake) exchange(auth uint32) (pgproto3.FrontendMessage, error) {
	if h.newerMinor || len(h.unknownOptions) > 0 {
		h.newerMinor = false
		n := &pgproto3.NegotiateProtocolVersion{UnrecognizedOptions: h.unknownOptions}
		h.unknownOptions = nil
		b, _ := n.Encode(nil)
		if _, err := h.conn.Write(b); err != nil {
			return nil, fmt.Errorf("negotiate the protocol version: %w", err)
		}
	}
	if err := h.backend.Flush(); err != nil {
		return nil, fmt.Errorf("send an authentication request: %w", err)
	}
	if err := h.backend.SetAuthType(auth); err != nil {
		return nil, fmt.Errorf("set the type of authentication: %w", err)
	}
	kind, body, err := h.reader.next()
	if err != nil {
		return nil, err
	}
	h.decoderInput.Reset(appendFrame(nil, kind, body))
	m, err := h.backend.Receive()
	if err != nil {
		return nil, newFatalError(codeProtocol, "invalid message during authentication")
	}
	return m, nil
}
