package owner

import (
	"bytes"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// markerStatement is the name of the statement that a marker prepares, describes and closes.
const markerStatement = "jacinthtiller_marker"

// markerSettings are the settings that markers of consecutive requests describe SHOW of. Every target has them.
var markerSettings = [...]string{
	"server_version", "server_encoding", "client_encoding", "integer_datetimes",
	"standard_conforming_strings", "search_path", "statement_timeout", "lock_timeout",
}

// addMarker adds a marker: messages that change nothing and whose answer names a setting. It follows each request in the same
// write. An answer that belongs to another request, or one too many, is found where the answer to the marker is expected,
// before anything of the request's answer is acknowledged. The protocol itself has nothing that names the request.
func (p *requestPlan) addMarker(c *conn) error {
	c.markers++
	setting := markerSettings[c.markers%uint64(len(markerSettings))]
	for _, m := range []pgproto3.FrontendMessage{
		&pgproto3.Parse{Name: markerStatement, Query: "SHOW " + setting},
		&pgproto3.Describe{ObjectType: 'S', Name: markerStatement},
		&pgproto3.Close{ObjectType: 'S', Name: markerStatement},
		&pgproto3.Sync{},
	} {
		out, err := m.Encode(p.messages)
		if err != nil {
			return fmt.Errorf("encode marker: %w", err)
		}
		p.messages = out
	}
	p.expect(expectMarkerParse, "")
	p.expect(expectMarkerDescribe, setting)
	p.expect(expectMarkerClose, "")
	p.expect(expectMarkerSync, "")
	return nil
}

// describesMarker reports whether a RowDescription has the one column that SHOW of the setting returns.
func describesMarker(f []byte, setting string) bool {
	column, ok := bytes.CutPrefix(f[headerBytes:], []byte{0, 1})
	return ok && bytes.HasPrefix(column, append([]byte(setting), 0))
}
