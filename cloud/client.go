// Package cloud calls the cloud that rents machines.
package cloud

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"golang.org/x/time/rate"

	"ravenport/constants"
	"ravenport/httpwire"
	"ravenport/wire"
)

// Errors of calls to the cloud.
var (
	// ErrNoCapacity: there is no such machine to be had now.
	ErrNoCapacity = errors.New("cloud: no capacity")
	// ErrTrouble: the call failed or went unanswered and may be repeated; a
	// rental under the same request name.
	ErrTrouble = errors.New("cloud: trouble")
)

// Client calls the cloud within this controller's share of the allowance.
type Client struct {
	http  *httpwire.Client
	calls *rate.Limiter
}

// NewClient makes a client; rps is this controller's share.
func NewClient(addr string, rps float64) *Client {
	return &Client{
		http: httpwire.NewClient(addr, 2, constants.DialTimeout,
			httpwire.Limits{Header: constants.MaxHeaderBytes, Body: constants.MaxResponseBody}),
		calls: rate.NewLimiter(rate.Limit(rps), max(1, int(rps))),
	}
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	if err := c.calls.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrTrouble, err)
	}
	ctx, cancel := context.WithTimeout(ctx, constants.CloudTimeout)
	defer cancel()
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return fmt.Errorf("cloud: encoding a request: %w", err)
		}
	}
	m, err := c.http.Do(ctx, method, path, body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTrouble, err)
	}
	if m.Status != 200 {
		var p wire.Problem
		if wire.Decode(m.Body, &p) == nil && m.Status == 503 && p.Error == "no capacity" {
			return ErrNoCapacity
		}
		return fmt.Errorf("%w: status %d: %.200s", ErrTrouble, m.Status, m.Body)
	}
	if out == nil {
		return nil
	}
	if err := wire.Decode(m.Body, out); err != nil {
		return fmt.Errorf("%w: unreadable answer: %w", ErrTrouble, err)
	}
	return nil
}

// MachineTypes reads the machine types.
func (c *Client) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	var r wire.MachineTypes
	err := c.call(ctx, "GET", wire.PathTypes, nil, &r)
	if err == nil && len(r.Types) == 0 {
		err = fmt.Errorf("%w: no machine types", ErrTrouble)
	}
	return r.Types, err
}

// ScaleOut asks for machines. Repeating it under the same name rents nothing more.
func (c *Client) ScaleOut(ctx context.Context, r wire.ScaleOutRequest) ([]string, error) {
	var out wire.MachineNames
	err := c.call(ctx, "POST", wire.PathMachines, r, &out)
	return out.Machines, err
}

// ScaleIn gives machines back; when it succeeds, they and all on them are gone.
func (c *Client) ScaleIn(ctx context.Context, names []string) error {
	return c.call(ctx, "POST", wire.PathScaleIn, wire.MachineNames{Machines: names}, nil)
}

// Machines reads the whole list of machines.
func (c *Client) Machines(ctx context.Context) ([]wire.CloudMachine, error) {
	var all []wire.CloudMachine
	after := ""
	for {
		var page wire.MachineList
		if err := c.call(ctx, "GET", wire.MachinesPath(after, wire.MaxList), nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.HasMore || len(page.Machines) == 0 {
			return all, nil
		}
		after = page.Machines[len(page.Machines)-1].Name
	}
}
