package standin

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// TestInterval guards against a target that keeps its own interval although its owner requested a longer one, and one
// that delays the announcement of a state change until the longer interval is over.
func TestInterval(t *testing.T) {
	convey.Convey("The owner's answer sets the interval", t, func() {
		var announced atomic.Int64
		leaving := make(chan struct{}, 1)
		var server *httptest.Server
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			announced.Add(1)
			body := make([]byte, 1024)
			n, _ := r.Body.Read(body)
			if strings.Contains(string(body[:n]), string(jacinthtiller.StateLeaving)) {
				select {
				case leaving <- struct{}{}:
				default:
				}
			}
			w.Header().Set("Content-Type", "application/json")
			fmt.Fprintf(w, `{"owner":%q,"next-milliseconds":60000}`, server.URL)
		}))
		defer server.Close()
		target, err := Start(Config{Name: "t", Database: "d", Domain: "z", Announce: []string{server.URL}, AnnounceIntervalMicroseconds: 5000})
		convey.So(err, convey.ShouldBeNil)
		defer target.Kill()
		for end := time.Now().Add(10 * time.Second); announced.Load() == 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond) // enough for 40 announcements at the target's own interval
		convey.So(announced.Load(), convey.ShouldBeBetweenOrEqual, 1, 3)
		target.SetState(jacinthtiller.StateLeaving)
		select {
		case <-leaving:
		case <-time.After(10 * time.Second):
			t.Error("the change of state was not announced")
		}
	})
}
