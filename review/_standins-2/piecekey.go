package main

import "time"

func init() { cases["piecekey"] = playPieceKey }

// latin1 returns the text that bytes are in ISO 8859-1, which older clients write headers in.
func latin1(bytes string) string {
	var text []rune
	for i := range len(bytes) {
		text = append(text, rune(bytes[i]))
	}
	return string(text)
}

// playPieceKey plays clients whose Piece-Key has a byte above 0x7f. In calm it is written in
// plain ASCII.
func playPieceKey(s *scene) {
	d := newDeployment()
	g := newGateway(s.folder, "front-norte-adega-1", freeAddress(), gatewayOptions{zone: "norte-adega", memoryMB: 284, maxFDs: 4100, store: d.storeAddress})
	g.start()
	if !g.awaitReady(10 * time.Second) {
		fatal("gateway is not ready")
	}
	time.Sleep(5 * time.Second)
	keys := []string{"rotulo-da-pipa-1", "rotulo-da-pipa-2"}
	if s.trouble {
		keys = []string{"r\xf3tulo", "r\xf2tulo"} // with an acute and with a grave accent
	}
	askedFor := map[string]string{}
	for _, key := range keys {
		id := newID()
		a := send(g.client, "POST", pathStream+"2f", id, 6*time.Second, map[string]string{"Model": "m", "Token-Usage": "1460,80", "Prompt-Prefix": "5c1e07a2:800,e4402b7d:250", "Pieces": "2", "Piece-Key": key}, "{}")
		s.note("request %s with the key %q: the client gets %v", id, key, a)
		for _, piece := range d.runs.of(id) {
			if piece.Service != stageService {
				continue
			}
			s.note("replica %s is asked for %s of %s with the key %q", piece.Replica, piece.Path, id, piece.Key)
			if piece.Key != key && piece.Key != latin1(key) {
				s.breakRule("UNASKED: a replica is asked with the key %q, the client's is %q", piece.Key, key)
			}
			if other, known := askedFor[piece.Key]; known && other != key {
				s.breakRule("UNASKED: the keys %q and %q of two clients became the same key %q", other, key, piece.Key)
			}
			askedFor[piece.Key] = key
		}
	}
}
