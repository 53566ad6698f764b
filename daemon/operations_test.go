package daemon

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller/event"
)

// TestOperationsPage guards against names of events or metrics on the operations page that do not exist.
func TestOperationsPage(t *testing.T) {
	convey.Convey("docs/OPERATIONS.md", t, func() {
		b, err := os.ReadFile("../docs/OPERATIONS.md")
		convey.So(err, convey.ShouldBeNil)
		page := string(b)
		names := map[string]bool{}
		for _, k := range event.Catalogue() {
			names[k.Name] = true
		}
		convey.Convey("names events of the catalogue", func() {
			_, alarms, _ := strings.Cut(page, "## Alarms")
			alarms, _, _ = strings.Cut(alarms, "## Metrics")
			for _, m := range regexp.MustCompile("`([a-z]+(?:-[a-z]+)+)`").FindAllStringSubmatch(alarms, -1) {
				convey.So(names[m[1]], convey.ShouldBeTrue)
			}
		})
		convey.Convey("names metrics of the code", func() {
			_, metrics, _ := strings.Cut(page, "## Metrics")
			code := ""
			for _, f := range []string{"../statement/metrics.go", "../admission/gate.go", "../pool/metrics.go", "../control/metrics.go"} {
				b, err := os.ReadFile(f)
				convey.So(err, convey.ShouldBeNil)
				code += string(b)
			}
			found := 0
			for _, m := range regexp.MustCompile("`(jacinthtiller\\.[a-z.]+|control-[a-z]+)`").FindAllStringSubmatch(metrics, -1) {
				convey.So(code, convey.ShouldContainSubstring, `"`+m[1]+`"`)
				found++
			}
			convey.So(found, convey.ShouldBeGreaterThan, 8)
		})
	})
}
