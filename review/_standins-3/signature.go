package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
)

func init() { cases["signature"] = runSignature }

// Figures of the case "signature".
const (
	signatureOrders = 600
	// wrongEvery is the interval, in answers of one replica, at which it hands out wrong bytes.
	wrongEvery = 40
)

// runSignature has a replica hand out wrong bytes in few of its answers: their field Connection
// names the signature. It checks that each success bears a signature.
func runSignature(w *world) (verdict, error) {
	w.store.put("op/config", configuration(7, key))
	var answers, wrong atomic.Int64
	for i, zone := range []string{"norte-adega", "norte-linha", "centro-arm"} {
		faulty := i == 0 && w.trouble
		serve := func(rw http.ResponseWriter, r *http.Request) {
			if faulty && answers.Add(1)%wrongEvery == 0 {
				wrong.Add(1)
				rw.Header().Set("Connection", "keep-alive, Response-Signature")
			}
			serveText(rw, r)
		}
		if _, err := w.startReplica(fmt.Sprintf("i-rl%02d", i), "registo-lotes", zone, 6, serve); err != nil {
			return verdict{}, err
		}
	}
	address, err := freePort()
	if err != nil {
		return verdict{}, err
	}
	g, err := w.startGateway("front-norte-adega-1", "norte-adega", nil, address)
	if err != nil {
		return verdict{}, err
	}
	if err := g.awaitReady(); err != nil {
		return verdict{}, err
	}
	successes, unsigned := 0, 0
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	for range signatureOrders {
		request, err := http.NewRequest(http.MethodPost, "http://"+g.client+"/lotes/a", strings.NewReader("order"))
		if err != nil {
			return verdict{}, err
		}
		id := hexID(16)
		request.Host = host
		request.Header.Set("Request-Attempt-Id", id)
		request.Header.Set("Credential", key)
		request.Header.Set("Deadline-Ms", "1500")
		response, err := client.Do(request)
		if err != nil {
			return verdict{}, err
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			w.record("order %s: status %d, %v", id, response.StatusCode, err)
			continue
		}
		successes++
		if response.Header.Get("Response-Signature") == "" {
			unsigned++
			w.record("order %s: status 200 with %d bytes and without Response-Signature", id, len(body))
		}
	}
	w.record("%d orders, %d successes, %d of them without a signature; the replica handed out wrong bytes in %d of %d answers", signatureOrders, successes, unsigned, wrong.Load(), answers.Load())
	if successes == 0 {
		return verdict{}, fmt.Errorf("no order was served")
	}
	if unsigned > 0 {
		return verdict{true, fmt.Sprintf("MIXED: clients got %d successes without the replica's signature", unsigned)}, nil
	}
	return verdict{false, "each success bore a signature"}, nil
}
