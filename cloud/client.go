// Package cloud calls the cloud that provides machines: machine types, scale-out,
// scale-in and the list of machines.
package cloud

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/time/rate"

	"ravenport/constants"
	"ravenport/httpwire"
	"ravenport/wire"
)

// Errors of calls to the cloud; test for them with errors.Is.
var (
	// ErrNoCapacity means that the cloud currently has no machine of the requested type.
	ErrNoCapacity = errors.New("cloud: no capacity")
	// ErrTransient means that the call failed or got no response. The call may be
	// retried; a scale-out must be retried under the same request ID.
	ErrTransient = errors.New("cloud: transient failure")
)

// noCapacityText is the cloud's error text for ErrNoCapacity.
const noCapacityText = "no capacity"

// maxIdleConns is the maximum number of idle connections to the cloud.
const maxIdleConns = 2

// Client calls the cloud within this controller's share of the rate limit. It is safe for
// concurrent use.
type Client struct {
	http    *httpwire.Client
	limiter *rate.Limiter
}

// NewClient makes a client of the cloud at addr that makes at most rps calls a second.
func NewClient(addr string, rps float64) *Client {
	return &Client{
		http: httpwire.NewClient(addr, maxIdleConns, constants.DialTimeout,
			httpwire.Limits{Header: constants.MaxHeaderBytes, Body: constants.MaxResponseBody}),
		limiter: rate.NewLimiter(rate.Limit(rps), max(1, int(rps))),
	}
}

// call makes one call to the cloud, after waiting for the rate limit. request and response
// are encoded as JSON. A nil request is sent without a body; with a nil response the
// response's body is ignored.
func (c *Client) call(ctx context.Context, method, path string, request, response any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrTransient, err)
	}
	ctx, cancel := context.WithTimeout(ctx, constants.CloudTimeout)
	defer cancel()
	body, err := encode(request)
	if err != nil {
		return err
	}
	message, err := c.http.Do(ctx, method, path, body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTransient, err)
	}
	if message.Status != http.StatusOK {
		return statusError(message)
	}
	if response == nil {
		return nil
	}
	if err := wire.Decode(message.Body, response); err != nil {
		return fmt.Errorf("%w: unreadable response: %w", ErrTransient, err)
	}
	return nil
}

func encode(request any) ([]byte, error) {
	if request == nil {
		return nil, nil
	}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("cloud: encoding a request: %w", err)
	}
	return body, nil
}

// statusError returns the error for a response whose status is not OK.
func statusError(message *httpwire.Message) error {
	var problem wire.Problem
	isProblem := wire.Decode(message.Body, &problem) == nil
	if isProblem && message.Status == http.StatusServiceUnavailable && problem.Error == noCapacityText {
		return ErrNoCapacity
	}
	return fmt.Errorf("%w: status %d: %.200s", ErrTransient, message.Status, message.Body)
}

// MachineTypes reads the machine types that the cloud offers.
func (c *Client) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	var response wire.MachineTypes
	if err := c.call(ctx, http.MethodGet, wire.PathTypes, nil, &response); err != nil {
		return response.Types, err
	}
	if len(response.Types) == 0 {
		return nil, fmt.Errorf("%w: no machine types", ErrTransient)
	}
	return response.Types, nil
}

// ScaleOut requests machines and returns their names. It is idempotent: repeated under the
// same request ID it adds no more machines.
func (c *Client) ScaleOut(ctx context.Context, request wire.ScaleOutRequest) ([]string, error) {
	var response wire.MachineNames
	err := c.call(ctx, http.MethodPost, wire.PathMachines, request, &response)
	return response.Machines, err
}

// ScaleIn terminates machines. On success, neither the machines nor the tasks that ran on
// them exist any more.
func (c *Client) ScaleIn(ctx context.Context, names []string) error {
	return c.call(ctx, http.MethodPost, wire.PathScaleIn, wire.MachineNames{Machines: names}, nil)
}

// Machines lists all machines, page by page.
func (c *Client) Machines(ctx context.Context) ([]wire.CloudMachine, error) {
	var all []wire.CloudMachine
	after := ""
	for {
		var page wire.MachineList
		if err := c.call(ctx, http.MethodGet, wire.MachinesPath(after, wire.MaxMachinesListed), nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.HasMore || len(page.Machines) == 0 {
			return all, nil
		}
		after = page.Machines[len(page.Machines)-1].Name
	}
}
