package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/platform"
)

// TestKeysAreSecret guards against keys in answers, logs, traces, dumps, the status, views, deltas and snapshots of control,
// and against digests in what operators see.
func TestKeysAreSecret(t *testing.T) {
	const key, secondKey = "sk-77f3a9c2d1e84b06", "sk-0b5e6d7c8a9f1324"
	body := func(version int, tenants string) string {
		return fmt.Sprintf(`{"version":%d,"routes":[{"database_name":"db","timeout_ms":800,"service":"svc"}],`+
			`"services":[{"name":"svc","max_connections":56}],"tenants":%s}`, version, tenants)
	}
	accepted := body(1, `[{"name":"mill","api_keys":["`+key+`"],"rate_per_s":12.5,"burst":3,"priority":1},{"name":"shop","api_keys":[]}]`)
	refused := map[string]string{
		"a key of two tenants":   `[{"name":"mill","api_keys":["` + key + `"]},{"name":"shop","api_keys":["` + key + `"]}]`,
		"a negative rate":        `[{"name":"mill","api_keys":["` + key + `"],"rate_per_s":-1}]`,
		"a key in a rate":        `[{"name":"mill","api_keys":[],"rate_per_s":"` + key + `"}]`,
		"a key and an empty one": `[{"name":"mill","api_keys":["` + key + `",""]}]`,
		"a key as a tenant":      `["` + key + `"]`,
		"a key in a name":        `[{"name":["` + key + `"]}]`,
		"a text cut short":       `[{"name":"mill","api_keys":["` + key,
	}
	convey.Convey("After editions with keys, some of them refused", t, func() {
		var output bytes.Buffer
		logger := logrus.New()
		logger.SetOutput(&output)
		logger.SetLevel(logrus.TraceLevel)
		s, _, url := startFake(t, Config{Operators: &Operators{}, Events: event.New("c1", logger, event.WithTrace(&output))}, true)
		h := platform.Adapter{}.Control(s)
		put := func(text string) *httptest.ResponseRecorder {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/jacinthtiller/config", strings.NewReader(text)))
			return w
		}
		outputs := map[string]string{}
		convey.So(put(accepted).Code, convey.ShouldEqual, 200)
		for name, tenants := range refused {
			w := put(body(2, tenants))
			convey.So(w.Code, convey.ShouldEqual, 400)
			outputs["answer to "+name] = w.Body.String()
		}
		second := strings.ReplaceAll(strings.Replace(accepted, `"version":1`, `"version":3`, 1), key, secondKey)
		convey.So(put(second).Code, convey.ShouldEqual, 200)

		status, err := NewClient([]string{url}, nil).Status(t.Context())
		convey.So(err, convey.ShouldBeNil)
		asJSON := func(v any) string {
			b, err := json.Marshal(v)
			convey.So(err, convey.ShouldBeNil)
			return string(b)
		}
		asCBOR := func(v any) string {
			b, err := encode(v)
			convey.So(err, convey.ShouldBeNil)
			return string(b)
		}
		outputs["status"], outputs["encoded status"], outputs["dump"] = asJSON(status), asCBOR(status), asJSON(s.Dump())
		for _, from := range []uint64{0, s.View().Index - 1} {
			for _, accepts := range []bool{false, true} {
				d, _ := s.machine.delta(from, accepts)
				outputs[fmt.Sprint("delta in JSON ", from, accepts)] = asJSON(d)
			}
		}
		outputs["log and trace"] = output.String()
		digest := jacinthtiller.DigestKey
		for name, text := range outputs {
			convey.Convey(name+" holds neither keys nor digests", func() {
				for _, secret := range []string{key, secondKey, string(digest(key)), string(digest(secondKey))} {
					convey.So(text, convey.ShouldNotContainSubstring, secret)
				}
			})
		}
		convey.Convey("views, deltas and snapshots for other processes hold no keys", func() {
			snapshot, err := s.machine.Snapshot()
			convey.So(err, convey.ShouldBeNil)
			d, _ := s.machine.delta(s.View().Index-1, true)
			for _, text := range []string{string(snapshot), asCBOR(d), asCBOR(s.View())} {
				convey.So(text, convey.ShouldContainSubstring, string(digest(secondKey)))
				convey.So(text, convey.ShouldNotContainSubstring, key)
				convey.So(text, convey.ShouldNotContainSubstring, secondKey)
			}
		})
		convey.Convey("the operator reads back the text as it was sent", func() {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/jacinthtiller/config", nil))
			convey.So(w.Body.String(), convey.ShouldEqual, second)
		})
		convey.Convey("refused editions are logged with the reason", func() {
			convey.So(outputs["log and trace"], convey.ShouldContainSubstring, `share a key`)
		})
		convey.Convey("status and dump show the accounts", func() {
			convey.So(status.Accounts, convey.ShouldResemble, []AccountStatus{
				{Name: "mill", Priority: 1, Keys: 1, Limit: &jacinthtiller.RateLimit{PerSecond: 12.5, Burst: 3}}, {Name: "shop"},
			})
			convey.So(outputs["dump"], convey.ShouldContainSubstring, `{"name":"mill","priority":1,"limit":{"per-second":12.5,"burst":3},"keys":1}`)
		})
	})
}
