package document

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/xdg-go/scram"
)

const (
	verifierPrefix = "SCRAM-SHA-256$"
	// minIterations is the minimum that RFC 7677 allows.
	minIterations = 4096
	// maxIterations bounds the cost of a guest's login; 10 million iterations take about 2 s on a client.
	maxIterations = 10_000_000
	saltBytes     = 16
	keyBytes      = 32
)

// VerifierError is returned for an invalid verifier. It never contains the verifier, which is a secret.
type VerifierError struct {
	// Reason says what is wrong with the verifier.
	Reason string
}

// Error returns the reason.
func (e *VerifierError) Error() string { return "SCRAM-SHA-256 verifier: " + e.Reason }

// NewVerifier returns a verifier of the password with a random salt.
func NewVerifier(password string) (string, error) {
	salt := make([]byte, saltBytes)
	if _, err := rand.Read(salt); err != nil {
		return "", fmt.Errorf("read salt: %w", err)
	}
	c, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return "", fmt.Errorf("prepare password: %w", err)
	}
	s, err := c.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: minIterations})
	if err != nil {
		return "", fmt.Errorf("derive keys: %w", err)
	}
	b := base64.StdEncoding
	return fmt.Sprintf("%s%d:%s$%s:%s", verifierPrefix, s.Iters, b.EncodeToString([]byte(s.Salt)),
		b.EncodeToString(s.StoredKey), b.EncodeToString(s.ServerKey)), nil
}

// ParseVerifier parses a verifier of the form SCRAM-SHA-256$iterations:salt$stored-key:server-key.
func ParseVerifier(s string) (scram.StoredCredentials, error) {
	var out scram.StoredCredentials
	rest, ok := strings.CutPrefix(s, verifierPrefix)
	if !ok {
		return out, &VerifierError{Reason: "must start with " + verifierPrefix}
	}
	factors, keys, ok := strings.Cut(rest, "$")
	iterations, salt, ok2 := strings.Cut(factors, ":")
	stored, server, ok3 := strings.Cut(keys, ":")
	if !ok || !ok2 || !ok3 {
		return out, &VerifierError{Reason: "must have the form iterations:salt$stored-key:server-key"}
	}
	n, err := strconv.Atoi(iterations)
	if err != nil || n < minIterations || n > maxIterations {
		return out, &VerifierError{Reason: fmt.Sprintf("must have %d to %d iterations", minIterations, maxIterations)}
	}
	b := base64.StdEncoding.Strict()
	rawSalt, err := b.DecodeString(salt)
	if err != nil || len(rawSalt) == 0 {
		return out, &VerifierError{Reason: "salt must be base64"}
	}
	if out.StoredKey, err = b.DecodeString(stored); err != nil || len(out.StoredKey) != keyBytes {
		return scram.StoredCredentials{}, &VerifierError{Reason: "stored-key must be 32 bytes in base64"}
	}
	if out.ServerKey, err = b.DecodeString(server); err != nil || len(out.ServerKey) != keyBytes {
		return scram.StoredCredentials{}, &VerifierError{Reason: "server-key must be 32 bytes in base64"}
	}
	out.KeyFactors = scram.KeyFactors{Salt: string(rawSalt), Iters: n}
	return out, nil
}
