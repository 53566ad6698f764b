package jacinthtiller_test

import (
	"encoding/json"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// TestDeltaJSON guards against a rename of Delta.Compressed that changes the JSON form of a delta: the handlers also accept
// JSON, in which a field without a json tag has its Go name as its key.
func TestDeltaJSON(t *testing.T) {
	convey.Convey("The compressed delta is in JSON under its former name", t, func() {
		b, err := json.Marshal(jacinthtiller.Delta{})
		convey.So(err, convey.ShouldBeNil)
		var keys map[string]json.RawMessage
		convey.So(json.Unmarshal(b, &keys), convey.ShouldBeNil)
		convey.Convey("also when it is empty", func() {
			convey.So(keys, convey.ShouldContainKey, "Packed")
			convey.So(string(keys["Packed"]), convey.ShouldEqual, "null")
			convey.So(keys, convey.ShouldNotContainKey, "Compressed")
		})
		convey.Convey("and is decoded from it", func() {
			var d jacinthtiller.Delta
			convey.So(json.Unmarshal([]byte(`{"Packed":"eA=="}`), &d), convey.ShouldBeNil)
			convey.So(string(d.Compressed), convey.ShouldEqual, "x")
		})
	})
}
