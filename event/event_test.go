package event_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller/event"
)

var update = flag.Bool("update", false, "write docs/events.md from the catalogue")

const pagePath = "../docs/events.md"

// TestCatalogue guards against events missing from docs/events.md, and against
// duplicate or malformed names and texts.
func TestCatalogue(t *testing.T) {
	if *update {
		if err := os.WriteFile(pagePath, []byte(event.Markdown()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	convey.Convey("docs/events.md matches the catalogue", t, func() {
		b, err := os.ReadFile(pagePath)
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(b), convey.ShouldEqual, event.Markdown())
	})
	convey.Convey("Names are unique and in kebab case, texts are sentences", t, func() {
		names := map[string]bool{}
		kebab := regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)
		for _, k := range event.Catalogue() {
			convey.So(names[k.Name], convey.ShouldBeFalse)
			names[k.Name] = true
			convey.So(kebab.MatchString(k.Name), convey.ShouldBeTrue)
			convey.So(strings.HasSuffix(k.Text, "."), convey.ShouldBeTrue)
		}
	})
}

// TestEmit guards against trace records that lack fields, and against a log level that filters the trace.
func TestEmit(t *testing.T) {
	convey.Convey("The trace holds events below the log's level", t, func() {
		var log, trace bytes.Buffer
		logger := logrus.New()
		logger.SetOutput(&log)
		l := event.New("h1", logger, event.WithTrace(&trace))
		l.Emit(event.LeaseRenewed, event.Fields{"index": 4})
		l.Emit(event.ProcessStarted, nil)
		convey.So(log.String(), convey.ShouldNotContainSubstring, "lease-renewed")
		convey.So(log.String(), convey.ShouldContainSubstring, "event=100")

		d := json.NewDecoder(&trace)
		var first, second event.Record
		convey.So(d.Decode(&first), convey.ShouldBeNil)
		convey.So(d.Decode(&second), convey.ShouldBeNil)
		convey.So(first.Number, convey.ShouldEqual, event.LeaseRenewed.Number)
		convey.So(first.Fields["index"], convey.ShouldEqual, 4)
		convey.So([]uint64{first.Sequence, second.Sequence}, convey.ShouldResemble, []uint64{1, 2})
	})
	convey.Convey("A discarding log accepts events", t, func() {
		event.Discard().Emit(event.ProcessStarted, nil)
		convey.So(event.Discard().Tracing(), convey.ShouldBeFalse)
	})
}
