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

const mechanism = "SCRAM-SHA-256"

// authenticate runs SCRAM-SHA-256. A role that does not exist takes the same path
// with a verifier that fits no password.
func (e *handshake) authenticate(name string) (document.Role, document.Team, error) {
	role, team, known := e.server.directory().Role(name)
	// The decoy is made for every role, so that a known one takes no less time.
	decoy, err := document.ParseVerifier(e.server.decoyVerifier(name))
	if err != nil {
		return role, team, fmt.Errorf("verifier of an unknown role: %w", err)
	}
	stored, err := document.ParseVerifier(role.Verifier)
	if err != nil {
		known, stored = false, decoy
	}
	ok, err := e.verifyPassword(stored)
	if err != nil {
		return role, team, err
	}
	if !ok || !known {
		return role, team, fatal(codePassword, "password authentication failed for user %q", name)
	}
	return role, team, nil
}

// decoy returns a verifier that depends only on the name, as that of a role would, and fits no password.
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

// scram reports whether the guest knows the password.
func (e *handshake) verifyPassword(stored scram.StoredCredentials) (bool, error) {
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
	if err != nil {
		return false, fmt.Errorf("start SCRAM: %w", err)
	}
	conversation := server.NewConversation()
	e.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}})
	m, err := e.exchange(pgproto3.AuthTypeSASL)
	if err != nil {
		return false, err
	}
	first, ok := m.(*pgproto3.SASLInitialResponse)
	if !ok || first.AuthMechanism != mechanism {
		return false, fatal(codeProtocol, "the guest chose no offered SASL mechanism")
	}
	challenge, err := conversation.Step(string(first.Data))
	if err != nil {
		return false, fatal(codeProtocol, "malformed SCRAM message")
	}
	e.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	m, err = e.exchange(pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return false, err
	}
	last, ok := m.(*pgproto3.SASLResponse)
	if !ok {
		return false, fatal(codeProtocol, "expected a SASL response")
	}
	proof, err := conversation.Step(string(last.Data))
	if err != nil || !conversation.Valid() {
		return false, nil //nolint:nilerr // a wrong proof is an answer, not a failure
	}
	e.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(proof)})
	return true, e.backend.Flush()
}

// ask sends what is to be sent and returns the guest's next message.
func (e *handshake) exchange(auth uint32) (pgproto3.FrontendMessage, error) {
	if e.newerMinor || len(e.unknownOptions) > 0 {
		e.newerMinor = false
		n := &pgproto3.NegotiateProtocolVersion{UnrecognizedOptions: e.unknownOptions}
		e.unknownOptions = nil
		b, _ := n.Encode(nil)
		if _, err := e.conn.Write(b); err != nil {
			return nil, fmt.Errorf("negotiate the protocol version: %w", err)
		}
	}
	if err := e.backend.Flush(); err != nil {
		return nil, fmt.Errorf("send an authentication request: %w", err)
	}
	if err := e.backend.SetAuthType(auth); err != nil {
		return nil, fmt.Errorf("set the type of authentication: %w", err)
	}
	kind, body, err := e.reader.next()
	if err != nil {
		return nil, err
	}
	e.decoderInput.Reset(appendFrame(nil, kind, body))
	m, err := e.backend.Receive()
	if err != nil {
		return nil, fatal(codeProtocol, "invalid message during authentication")
	}
	return m, nil
}
