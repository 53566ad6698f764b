package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	serviceName       = "ledger"
	databaseName      = "orders"
	heartbeatInterval = 400 * time.Millisecond
)

// service is a primary and two replicas. Its primary never changes, and its replicas apply each commit at once.
type service struct {
	record  *record
	control []string
	group   sync.WaitGroup
	ctx     context.Context
	stop    context.CancelFunc
	servers []*server

	mu sync.Mutex // guards the fields below
	// commits is the number of commits, and runs the number of signatures.
	commits, runs int
	values        map[string]string
}

// server is one database server.
type server struct {
	service  *service
	id, zone string
	primary  bool
	born     int64
	listener net.Listener
	sequence int
}

func newService(r *record, control []string) (*service, error) {
	s := &service{record: r, control: control, values: map[string]string{}}
	s.ctx, s.stop = context.WithCancel(context.Background())
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("listen for a server: %w", err)
		}
		d := &server{
			service: s, id: fmt.Sprintf("i-%d", i+1), zone: fmt.Sprintf("zone-%d", i+1), primary: i == 0, born: time.Now().UnixMilli(), listener: l,
		}
		s.servers = append(s.servers, d)
		s.group.Go(d.accept)
		s.group.Go(d.sendHeartbeats)
	}
	return s, nil
}

func (s *service) close() {
	s.stop()
	for _, d := range s.servers {
		_ = d.listener.Close()
	}
}

// sendHeartbeats tells the control processes of the server, each time the next one after one that gave no acknowledgement.
func (d *server) sendHeartbeats() {
	client := &http.Client{Timeout: time.Second}
	next, acknowledged := 0, false
	for d.service.ctx.Err() == nil {
		d.sequence++
		role := "replica"
		if d.primary {
			role = "primary"
		}
		body, _ := json.Marshal(map[string]any{ // maps of plain values can always be encoded
			"service": serviceName, "address": d.listener.Addr().String(), "zone": d.zone, "version": "v1", "slots": 5, "state": "ready",
			"cold_remaining_ms": 0, "db_role": role, "sequence": d.sequence, "born": d.born,
		})
		to := d.service.control[next%len(d.service.control)]
		status, err := put(client, "http://"+to+"/jacinthtiller/instances/"+d.id, body)
		switch {
		case err != nil || status != http.StatusOK:
			next++
		case !acknowledged:
			acknowledged = true
			d.service.record.write("server %s (%s): the first heartbeat is acknowledged, by %s", d.id, role, to)
		}
		select {
		case <-time.After(heartbeatInterval):
		case <-d.service.ctx.Done():
		}
	}
}

func put(client *http.Client, url string, body []byte) (status int, err error) {
	r, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("make request: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := client.Do(r)
	if err != nil {
		return 0, fmt.Errorf("send request: %w", err)
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}

func (d *server) accept() {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.service.group.Go(func() { d.serve(c) })
	}
}

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", fmt.Errorf("read line: %w", err)
	}
	return strings.TrimSuffix(line, "\r\n"), nil
}

// serve serves one connection of the wire protocol.
func (d *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	first, err := readLine(r)
	f := strings.Fields(first)
	if err != nil || len(f) < 3 || f[0] != "STARTUP" || f[1] != serviceName || len(f) > 3 && f[3] != d.id {
		fmt.Fprintf(c, "ERROR WRONGNODE %s\r\n", d.id)
		return
	}
	fmt.Fprintf(c, "READY I -\r\n")
	state := "I"
	for {
		line, err := readLine(r)
		if err != nil || line == "TERMINATE" {
			return
		}
		_, rest, _ := strings.Cut(line, " ")
		_, text, _ := strings.Cut(rest, " ")
		fmt.Fprint(c, d.answer(text, &state))
	}
}

// answer runs one query. Transactions are accepted, but no client of these cases uses them.
func (d *server) answer(text string, state *string) string {
	s := d.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if strings.HasPrefix(text, "AFTER ") { // all servers have the whole log
		_, text, _ = strings.Cut(text, " ")
		_, text, _ = strings.Cut(text, " ")
	}
	verb, rest, _ := strings.Cut(text, " ")
	out := "COMPLETE -\r\n"
	switch verb {
	case "STATUS":
		role := "replica"
		if d.primary {
			role = "primary"
		}
		out = fmt.Sprintf("ROW %s 1 1.%d 0 0 0 1\r\nCOMPLETE -\r\n", role, s.commits)
	case "BEGIN":
		*state = "T"
	case "COMMIT", "ROLLBACK":
		*state = "I"
	case "READ":
		s.runs++
		out = fmt.Sprintf("ROW v%s\r\nCOMPLETE sig.%d\r\n", s.values[rest], s.runs)
	case "WRITE":
		if !d.primary {
			out = fmt.Sprintf("ERROR READONLY %s\r\n", d.id)
			break
		}
		item, data, _ := strings.Cut(rest, " ")
		s.values[item] = data
		s.runs, s.commits = s.runs+1, s.commits+1
		out = fmt.Sprintf("COMPLETE sig.%d\r\n", s.runs)
	}
	return fmt.Sprintf("%sREADY %s 1.%d\r\n", out, *state, s.commits)
}
