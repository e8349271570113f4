// Package control serves the HTTP interface of a stand-in: GET /stats returns
// its counts and POST /fault changes what is wrong with it, both in JSON.
package control

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	readHeaderTimeout = 2 * time.Second
	callTimeout       = 10 * time.Second
	maxBody           = 64 << 20
)

// JSON makes a handler that decodes a T and encodes what serve returns. An
// empty body decodes as the zero T.
func JSON[T any](serve func(T) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in T
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&in); err != nil && !errors.Is(err, io.EOF) {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := serve(in)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	}
}

// Serve answers on address until ctx ends. It reports its end on the channel.
func Serve(ctx context.Context, address string, handler http.Handler) (<-chan error, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	end := make(chan error, 1)
	go func() {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		end <- err
	}()
	return end, nil
}

// Call sends in to url as JSON, by GET if in is nil, and decodes the answer
// into out unless that is nil.
func Call(ctx context.Context, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	method, body := http.MethodGet, []byte(nil)
	if in != nil {
		method = http.MethodPost
		var err error
		if body, err = json.Marshal(in); err != nil {
			return err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return errors.Newf("%s: got status %d: %s", url, response.StatusCode, bytes.TrimSpace(raw))
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(raw, out)
}
