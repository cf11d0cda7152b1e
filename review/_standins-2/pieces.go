package main

import (
	"sync"
	"time"
)

func init() { cases["pieces"] = playPieces }

const (
	memoryMB      = 284
	endsPerDay    = 3
	machineCount  = 2
	restartDelay  = time.Second
	memoryPoll    = 2 * time.Millisecond
	requestWindow = 4 * time.Second
)

// manyPieces is the value of a header of 9 bytes.
const manyPieces = "300000000"

// machine is a machine of the platform: it kills its process when that exceeds the memory of
// the machine, and starts it again.
type machine struct {
	*gateway
	ends int
}

// playPieces plays a client that names very many pieces in one small request, and sends it again
// after each time that its connection was closed.
func playPieces(s *scene) {
	d := newDeployment()
	var machines []*machine
	peers := []string{freeAddress(), freeAddress()}
	for i, zone := range []string{"norte-adega", "norte-linha"} {
		m := &machine{gateway: newGateway(s.folder, "front-"+zone+"-1", peers[i], gatewayOptions{zone: zone, memoryMB: memoryMB, maxFDs: 4100, store: d.storeAddress, peers: peers})}
		m.start()
		machines = append(machines, m)
	}
	for _, m := range machines {
		if !m.awaitReady(10 * time.Second) {
			fatal("%s is not ready", m.name)
		}
	}
	time.Sleep(5 * time.Second)
	var group sync.WaitGroup
	for _, m := range machines {
		group.Go(func() { m.play(s) })
	}
	group.Wait()
	broken := 0
	for _, m := range machines {
		a := send(m.client, "GET", pathLook+"2f", newID(), 2*time.Second, nil, "")
		s.note("%s ended %d times; an ordinary caller gets %v", m.name, m.ends, a)
		if m.ends >= endsPerDay {
			broken++
		}
	}
	if broken >= 2 {
		s.breakRule("Fault: on %d of %d machines the process ended %d times, with memory over the limit and no disruption there", broken, len(machines), endsPerDay)
	}
}

func (m *machine) play(s *scene) {
	headers := map[string]string{"Model": "m", "Token-Usage": "1460,80", "Prompt-Prefix": "5c1e07a2:800,e4402b7d:250", "Pieces": "2", "Piece-Key": "7c1e07a291bd"}
	if s.trouble {
		headers["Pieces"] = manyPieces
	}
	for range endsPerDay {
		a := send(m.client, "GET", pathLook+"2f", newID(), 2*time.Second, nil, "")
		s.note("%s: memory %d MB; an ordinary caller gets %v", m.name, m.residentMB(), a)
		answered := make(chan answer, 1)
		go func() { answered <- send(m.client, "POST", pathStream+"2f", newID(), requestWindow, headers, "{}") }()
		m.watch(s)
		s.note("%s: the client that names %s pieces gets %v", m.name, headers["Pieces"], <-answered)
	}
}

// watch kills the process when it exceeds the memory of the machine, and starts it again.
func (m *machine) watch(s *scene) {
	began := time.Now()
	most := 0
	for time.Since(began) < requestWindow {
		used := m.residentMB()
		most = max(most, used)
		if used <= memoryMB {
			time.Sleep(memoryPoll)
			continue
		}
		_ = m.command.Process.Kill()
		<-m.ended
		m.ends++
		s.note("%s: process exceeds the memory of its machine (%d MB of %d) after %d ms and is killed", m.name, used, memoryMB, time.Since(began).Milliseconds())
		time.Sleep(restartDelay)
		m.start()
		if !m.awaitReady(10 * time.Second) {
			fatal("%s is not ready again", m.name)
		}
		return
	}
	s.note("%s: at most %d MB of %d", m.name, most, memoryMB)
}
