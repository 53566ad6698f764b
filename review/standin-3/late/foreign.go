package main

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	// foreignWait is how long after the first heartbeats of the servers another writer sends its own.
	foreignWait = 3 * time.Second
	// recoveryTime is recovery_s of the small deployments, and countTime how long requests are counted after it.
	recoveryTime = 12 * time.Second
	countTime    = 15 * time.Second
)

// takeForeignHeartbeats plays the case in which another writer sends heartbeats that lack a field, each with the address of a server.
func takeForeignHeartbeats(w *world, trouble bool) error {
	s := newService(w, 0)
	if err := w.start(true); err != nil {
		return err
	}
	s.add("i-1", "zone-1", freeAddress(), true, nil)
	s.add("i-2", "zone-2", freeAddress(), false, nil)
	s.add("i-3", "zone-3", freeAddress(), false, nil)
	if err := w.putConfig(0); err != nil {
		return err
	}
	w.sleep(foreignWait)
	if trouble {
		for i := range 3 {
			v := s.servers[fmt.Sprintf("i-%d", i+1)]
			id := "w-" + v.id
			status := w.beatOnce(id, foreignHeartbeat(v))
			w.note("another writer: a heartbeat of %s without version, with the address %s of %s: %d", id, v.address, v.id, status)
		}
	}
	w.sleep(recoveryTime)
	served, sent := 0, 0
	for end := time.Now().Add(countTime); time.Now().Before(end) && w.sleep(50*time.Millisecond); sent++ {
		h := w.hosts[sent%len(w.hosts)]
		if sent%3 == 0 && w.write(h, fmt.Sprint(sent%100), fmt.Sprint(sent)) || sent%3 != 0 && w.read(h, fmt.Sprint(sent%100)) {
			served++
		}
	}
	for i := range 3 {
		v := s.servers[fmt.Sprintf("i-%d", i+1)]
		w.note("server %s: its own heartbeat is answered with %d", v.id, w.beatOnce(v.id, v.heartbeat(serviceName)))
	}
	w.note("%d requests were sent, %d served", sent, served)
	if sent == 0 {
		return fmt.Errorf("no request was sent")
	}
	if served == 0 {
		return fmt.Errorf("%w: no request of %d is served", errBroken, sent)
	}
	return nil
}

// foreignHeartbeat returns a heartbeat of another writer with the address of a server. It lacks the field version.
func foreignHeartbeat(v *server) []byte {
	body, _ := json.Marshal(map[string]any{ // a map of numbers and strings can be encoded
		"service": serviceName, "address": v.address, "zone": v.zone, "slots": 5, "state": "ready", "cold_remaining_ms": 0,
		"db_role": "replica", "sequence": 1, "born": time.Now().UnixMilli(),
	})
	return body
}
