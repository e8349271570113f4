package operator

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"baobabstep"
	"baobabstep/core/config"
)

// Client calls the interface of VMs. It tries them in order until one answers.
type Client struct {
	// URLs are the addresses of VMs, as "http://127.0.0.1:7100".
	URLs     []string
	Operator string
	Key      Key
	Clock    baobabstep.Clock
	HTTP     *http.Client
	// Last is the envelope of the latest answer, without its content.
	Last Envelope
}

// Status asks for the state of the VM and what it knows of the fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, "status", nothing{})
}

// Explain asks where a flow or request went.
func (c *Client) Explain(ctx context.Context, q ExplainQuery) (Explanation, error) {
	return call[Explanation](ctx, c, "explain", q)
}

// Documents asks for templates or accounts.
func (c *Client) Documents(ctx context.Context, q DocumentQuery) ([]Document, error) {
	return call[[]Document](ctx, c, "documents", q)
}

// Draft reads, writes or drops the operator's draft.
func (c *Client) Draft(ctx context.Context, q DraftQuery) (DraftAnswer, error) {
	return call[DraftAnswer](ctx, c, "draft", q)
}

// Change asks for a change. It may be asked again with the same identifier.
func (c *Client) Change(ctx context.Context, q ChangeQuery) (ChangeAnswer, error) {
	return call[ChangeAnswer](ctx, c, "change", q)
}

// Audit asks for entries of the audit trail, or for its verification.
func (c *Client) Audit(ctx context.Context, q AuditQuery) (AuditAnswer, error) {
	return call[AuditAnswer](ctx, c, "audit", q)
}

// Export asks for the whole configuration.
func (c *Client) Export(ctx context.Context) (config.Export, error) {
	return call[config.Export](ctx, c, "export", nothing{})
}

// call makes one call. An answer that was lost is asked for again at the next
// VM: reads change nothing, a change is known by its identifier, and a draft
// is written by compare-and-swap.
func call[A any](ctx context.Context, c *Client, name string, q any) (a A, err error) {
	err = baobabstep.Errorf(baobabstep.CodeUsage, "operator."+name, "got no VM to ask, want at least one")
	for _, url := range c.URLs {
		var e Envelope
		if e, err = c.exchange(ctx, strings.TrimSuffix(url, "/")+"/v1/"+name, name, q); err != nil {
			if baobabstep.CodeOf(err) == baobabstep.CodePeerUnreachable {
				continue
			}
			return a, err
		}
		if len(e.Answer) > 0 {
			if err := json.Unmarshal(e.Answer, &a); err != nil {
				return a, baobabstep.Errorf(baobabstep.CodeMalformed, "operator."+name, "%w", err)
			}
		}
		c.Last = e
		c.Last.Answer = nil
		if e.Code != baobabstep.CodeOK {
			return a, &baobabstep.Error{Code: e.Code, Op: "vm " + e.VM, Err: errors.New(e.Error)}
		}
		return a, nil
	}
	return a, err
}

func (c *Client) exchange(ctx context.Context, url, name string, q any) (Envelope, error) {
	var e Envelope
	op := "operator." + name
	body := config.Encode(q)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return e, baobabstep.Errorf(baobabstep.CodeUsage, op, "%w", err)
	}
	nonce := c.sign(req, body)
	res, err := c.HTTP.Do(req)
	if err != nil {
		return e, baobabstep.Errorf(baobabstep.CodePeerUnreachable, op, "%w", err)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxRequest))
	if err != nil {
		return e, baobabstep.Errorf(baobabstep.CodePeerUnreachable, op, "%w", err)
	}
	if res.StatusCode == http.StatusUnauthorized {
		_ = json.Unmarshal(data, &e)
		return e, baobabstep.Errorf(baobabstep.CodeUnauthenticated, op, "the VM refused the request: %s", e.Error)
	}
	if !hmac.Equal([]byte(answerMAC(c.Key, nonce, res.StatusCode, data)), []byte(res.Header.Get(headerMAC))) {
		return e, baobabstep.Errorf(baobabstep.CodeUnauthenticated, op, "got an answer without proof that it comes from a VM of the fleet")
	}
	if err := json.Unmarshal(data, &e); err != nil {
		return e, baobabstep.Errorf(baobabstep.CodeMalformed, op, "%w", err)
	}
	return e, nil
}

// sign adds the headers of the authentication and returns the nonce.
func (c *Client) sign(req *http.Request, body []byte) string {
	var b [16]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	nonce := hex.EncodeToString(b[:])
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerOperator, c.Operator)
	req.Header.Set(headerKey, c.Key.ID)
	req.Header.Set(headerTime, strconv.FormatInt(c.Clock.Now().UnixMilli(), 10))
	req.Header.Set(headerNonce, nonce)
	req.Header.Set(headerMAC, requestMAC(c.Key, req, body))
	return nonce
}

// Listen serves the interface until the context ends, then lets the calls
// under way finish. The channel is closed once it has ended.
func Listen(ctx context.Context, l net.Listener, s *Server) <-chan struct{} {
	done := make(chan struct{})
	server := &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
		defer cancel()
		_ = server.Shutdown(stop)
		close(done)
	}()
	go func() { _ = server.Serve(l) }()
	return done
}
