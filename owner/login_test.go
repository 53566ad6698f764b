package owner

import (
	"context"
	"crypto/md5"
	"encoding/hex"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
	"github.com/xdg-go/scram"
)

// TestLogin guards against an authentication method that targets require and the owner does not support.
func TestLogin(t *testing.T) {
	password := func(m pgproto3.BackendMessage, want string) func(b *pgproto3.Backend) bool {
		return func(b *pgproto3.Backend) bool {
			b.Send(m)
			_ = b.Flush()
			_ = b.SetAuthType(pgproto3.AuthTypeCleartextPassword)
			got, err := b.Receive()
			p, ok := got.(*pgproto3.PasswordMessage)
			return err == nil && ok && p.Password == want
		}
	}
	digest := func(s string) string { d := md5.Sum([]byte(s)); return hex.EncodeToString(d[:]) }
	cases := map[string]func(b *pgproto3.Backend) bool{
		"trust":      func(*pgproto3.Backend) bool { return true },
		"clear text": password(&pgproto3.AuthenticationCleartextPassword{}, "secret"),
		"MD5":        password(&pgproto3.AuthenticationMD5Password{Salt: [4]byte{'s', 'a', 'l', 't'}}, "md5"+digest(digest("secretu")+"salt")),
		"SCRAM":      serveScram,
	}
	convey.Convey("The owner logs in with each method", t, func() {
		for name, authenticate := range cases {
			for pw, want := range map[string]bool{"secret": true, "wrong": name == "trust"} {
				convey.Convey(name+" with the password "+pw, func() {
					l, err := net.Listen("tcp", "127.0.0.1:0")
					convey.So(err, convey.ShouldBeNil)
					var g conc.WaitGroup
					g.Go(func() { serveStartup(l, authenticate) })
					ctx, cancel := context.WithTimeout(background, 5*time.Second)
					defer cancel()
					c, err := dial(ctx, l.Addr().String(), loginConfig{user: "u", password: pw, database: "d"})
					convey.So(err == nil, convey.ShouldEqual, want)
					if c != nil {
						convey.So(c.pid, convey.ShouldEqual, 7)
						convey.So(c.position.String(), convey.ShouldEqual, "3/4")
						c.close()
					}
					g.Wait()
					_ = l.Close()
				})
			}
		}
	})
}

// serveStartup accepts one connection and plays the server's part of its startup.
func serveStartup(l net.Listener, authenticate func(b *pgproto3.Backend) bool) {
	nc, err := l.Accept()
	if err != nil {
		return
	}
	defer nc.Close()
	b := pgproto3.NewBackend(nc, nc)
	if _, err := b.ReceiveStartupMessage(); err != nil || !authenticate(b) {
		return
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.ParameterStatus{Name: "log_position", Value: "3/4"})
	b.Send(&pgproto3.BackendKeyData{ProcessID: 7, SecretKey: []byte{1, 2, 3, 4}})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	_ = b.Flush()
}

func serveScram(b *pgproto3.Backend) bool {
	client, _ := scram.SHA256.NewClient("", "secret", "")
	stored, _ := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "salt", Iters: 4096})
	server, _ := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
	conversation := server.NewConversation()
	b.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{"SCRAM-SHA-256"}})
	_ = b.Flush()
	_ = b.SetAuthType(pgproto3.AuthTypeSASL)
	m, err := b.Receive()
	first, ok := m.(*pgproto3.SASLInitialResponse)
	if err != nil || !ok {
		return false
	}
	challenge, _ := conversation.Step(string(first.Data))
	b.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	_ = b.Flush()
	_ = b.SetAuthType(pgproto3.AuthTypeSASLContinue)
	m, err = b.Receive()
	second, ok := m.(*pgproto3.SASLResponse)
	if err != nil || !ok {
		return false
	}
	final, err := conversation.Step(string(second.Data))
	b.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
	return err == nil && conversation.Valid()
}
