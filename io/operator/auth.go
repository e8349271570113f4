// Package operator is the operators' interface of a VM and its client.
//
// Each VM serves the same interface over HTTP, and any of them will do: what an
// operator changes goes to the platform, and what an operator sees comes from
// the VM's own copy, with a word on how fresh that is. Requests and answers are
// authenticated by a keyed hash; a request carries the time and a number used
// once, so that a recorded one cannot be sent again.
package operator

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"baobabstep"
)

// Key is a secret shared between operators and VMs. A VM accepts several, so
// that a key can be replaced without a moment at which none fits both ends.
type Key struct {
	ID string `json:"id"`
	// Operator, if set, is the only operator who may use the key.
	Operator string `json:"operator"`
	Secret   string `json:"secret"`
}

// Header names of the authentication.
const (
	headerOperator = "X-Baobabstep-Operator"
	headerKey      = "X-Baobabstep-Key"
	headerTime     = "X-Baobabstep-Time"
	headerNonce    = "X-Baobabstep-Nonce"
	headerMAC      = "X-Baobabstep-Mac"
)

const (
	// MinSecret is the least length of a secret, in bytes.
	MinSecret = 16
	// maxSkew is how far a request's time may be from the VM's clock.
	maxSkew = 30 * time.Second
	// maxNonces bounds the numbers remembered; within twice maxSkew no
	// operator sends that many requests.
	maxNonces = 1 << 14
)

// requestMAC covers all of a request that decides what it does.
func requestMAC(key Key, r *http.Request, body []byte) string {
	sum := sha256.Sum256(body)
	return mac(key, r.Method, r.URL.RequestURI(), r.Header.Get(headerOperator), r.Header.Get(headerTime), r.Header.Get(headerNonce), hex.EncodeToString(sum[:]))
}

// answerMAC binds an answer to the request that it answers.
func answerMAC(key Key, nonce string, status int, body []byte) string {
	sum := sha256.Sum256(body)
	return mac(key, "answer", nonce, strconv.Itoa(status), hex.EncodeToString(sum[:]))
}

func mac(key Key, parts ...string) string {
	h := hmac.New(sha256.New, []byte(key.Secret))
	for _, p := range parts {
		_, _ = io.WriteString(h, strconv.Itoa(len(p))+":"+p)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// keyring checks requests.
type keyring struct {
	keys []Key

	mu     sync.Mutex
	nonces map[string]time.Time
}

func newKeyring(keys []Key) (*keyring, error) {
	for _, k := range keys {
		if len(k.Secret) < MinSecret || k.ID == "" {
			return nil, baobabstep.Errorf(baobabstep.CodeSettings, "operator.keys", "got key %q with a secret of %d bytes, want a name and at least %d", k.ID, len(k.Secret), MinSecret)
		}
	}
	return &keyring{keys: keys, nonces: map[string]time.Time{}}, nil
}

// check returns the key and the operator of a request, or CodeUnauthenticated.
// The text does not say what was wrong with a key.
func (k *keyring) check(now time.Time, r *http.Request, body []byte) (Key, string, error) {
	refuse := func(want string) (Key, string, error) {
		return Key{}, "", baobabstep.Errorf(baobabstep.CodeUnauthenticated, "operator.check", "got a request without %s", want)
	}
	var found Key
	got := []byte(r.Header.Get(headerMAC))
	for _, key := range k.keys {
		// Every key is tried in full, so that the time tells nothing.
		same := subtle.ConstantTimeCompare([]byte(requestMAC(key, r, body)), got) == 1
		if same && key.ID == r.Header.Get(headerKey) {
			found = key
		}
	}
	operator := r.Header.Get(headerOperator)
	if found.ID == "" || operator == "" || found.Operator != "" && found.Operator != operator {
		return refuse("proof of a key that is accepted here and is this operator's")
	}
	ms, err := strconv.ParseInt(r.Header.Get(headerTime), 10, 64)
	if err != nil || now.Sub(time.UnixMilli(ms)).Abs() > maxSkew {
		return refuse("a time near this VM's, which is " + now.UTC().Format(time.RFC3339))
	}
	if !k.use(now, r.Header.Get(headerNonce)) {
		return refuse("a number that was not used before")
	}
	return found, operator, nil
}

// use notes a nonce, or says that it was used. A nonce is forgotten once the
// time of its request alone would have it refused.
func (k *keyring) use(now time.Time, nonce string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.nonces[nonce]; ok || len(nonce) < MinSecret {
		return false
	}
	if len(k.nonces) >= maxNonces {
		for n, at := range k.nonces {
			if now.Sub(at) > 2*maxSkew {
				delete(k.nonces, n)
			}
		}
		if len(k.nonces) >= maxNonces {
			return false
		}
	}
	k.nonces[nonce] = now
	return true
}
