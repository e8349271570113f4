package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"baobabstep"
	"baobabstep/core/config"
	"baobabstep/io/platform"
)

const (
	retryDelay   = 200 * time.Millisecond
	acceptWithin = 12 * time.Second
)

// call sends in as JSON and expects success.
func (d *demo) call(ctx context.Context, method, url string, in any) error {
	raw, err := json.Marshal(in)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		text, _ := io.ReadAll(response.Body)
		return errors.Newf("%s: got status %d: %s", url, response.StatusCode, text)
	}
	return nil
}

func (d *demo) importConfig(ctx context.Context) error {
	result := platform.Import(ctx, d.platform, d.plan.export, config.Change{
		ID: uuid.NewString(), Operator: "demo", Reason: "first configuration", Action: "config import",
	})
	d.document = d.plan.export.Accounts[0]
	return errors.Wrap(result.Err, "import")
}

// edited returns the account's document after a change.
func (d *demo) edited(change func(*config.Account) error) (json.RawMessage, error) {
	var account config.Account
	if err := json.Unmarshal(d.document, &account); err != nil {
		return nil, err
	}
	if err := change(&account); err != nil {
		return nil, err
	}
	return json.Marshal(account)
}

// changeConfig accepts a change of the account as an operator does and measures
// how long it takes to be in force.
func (d *demo) changeConfig(ctx context.Context, reason string, change func(*config.Account) error) error {
	d.configLock.Lock()
	defer d.configLock.Unlock()
	document, err := d.edited(change)
	if err != nil {
		return err
	}
	result := d.accept(ctx, "demo", reason, d.document, document)
	if result.Err != nil {
		return result.Err
	}
	d.document = document
	d.awaitVersion(ctx, result.Version, time.Now())
	return nil
}

// accept tries a change under one identifier until the platform has an answer,
// and confirms what it is told is dangerous.
func (d *demo) accept(ctx context.Context, operator, reason string, base, document json.RawMessage) config.Result {
	c := config.Change{
		ID: uuid.NewString(), Operator: operator, Reason: reason, Action: "account accept",
		Edits: []config.Edit{{Kind: config.ObjectAccount, Name: d.plan.account.Name, Base: base, Document: document}},
	}
	start := time.Now()
	for {
		result := platform.Accept(ctx, d.platform, nil, c, config.AcceptOptions{})
		switch code := baobabstep.CodeOf(result.Err); {
		case code == baobabstep.CodeDangerous && len(c.Confirm) == 0:
			for _, danger := range result.Dangers {
				c.Confirm = append(c.Confirm, danger.Name)
			}
		case code/100 == baobabstep.CodePlatformUnavailable/100 && time.Since(start) < acceptWithin:
			time.Sleep(retryDelay)
		default:
			return result
		}
	}
}

// setValue sets one value of a service.
func setValue(service int, name string, value any) func(*config.Account) error {
	return func(a *config.Account) error {
		raw, err := json.Marshal(value)
		a.Services[service].Values[name] = raw
		return err
	}
}

// changeTargets replaces the targets of a service.
func changeTargets(service int, change func([]config.TargetValue) []config.TargetValue) func(*config.Account) error {
	return func(a *config.Account) error {
		list, err := values[[]config.TargetValue](&a.Services[service], "targets")
		if err != nil {
			return err
		}
		return setValue(service, "targets", change(list))(a)
	}
}

// race lets two operators change the same value from the same base at once.
func (d *demo) race(ctx context.Context) error {
	d.configLock.Lock()
	defer d.configLock.Unlock()
	documents := make([]json.RawMessage, 2)
	results := make(chan config.Result, len(documents))
	for i := range documents {
		document, err := d.edited(setValue(0, "queue_limit", d.newLimit()))
		if err != nil {
			return err
		}
		documents[i] = document
		go func() {
			results <- d.accept(ctx, fmt.Sprintf("operator-%d", i+1), "race", d.document, document)
		}()
	}
	var accepted []config.Result
	conflicts := 0
	for range documents {
		switch r := <-results; baobabstep.CodeOf(r.Err) {
		case baobabstep.CodeOK:
			accepted = append(accepted, r)
		case baobabstep.CodeConflict:
			conflicts++
		default:
			return r.Err
		}
	}
	if len(accepted) != 1 || conflicts != 1 {
		d.violate("operator_race: got %d accepted and %d conflicts, want 1 and 1", len(accepted), conflicts)
		return nil
	}
	d.awaitVersion(ctx, accepted[0].Version, time.Now())
	// Which of the two it was is read back, as an operator would.
	return d.readDocument(ctx, documents, accepted[0])
}

func (d *demo) readDocument(_ context.Context, documents []json.RawMessage, accepted config.Result) error {
	for i, document := range documents {
		if accepted.Entry.Operator == fmt.Sprintf("operator-%d", i+1) {
			d.document = document
			return nil
		}
	}
	return errors.Newf("got operator %q in the audit entry, want one of the two", accepted.Entry.Operator)
}
