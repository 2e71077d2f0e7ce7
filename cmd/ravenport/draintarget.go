package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"ravenport/constants"
	"ravenport/peer"
	"ravenport/settings"
	"ravenport/settings/load"
)

// drainTarget is the controller to which requests about drains are sent, and the format in
// which its replies are printed.
type drainTarget struct {
	controller string // an address
	config     string // path of a settings file that contains the address; alternative to controller
	json       bool
}

// addFlags adds the flags to a command and its subcommands.
func (t *drainTarget) addFlags(cmd *cobra.Command) {
	flags := cmd.PersistentFlags()
	flags.StringVar(&t.controller, "controller", "", "address at which any controller serves the others (field back of its settings file)")
	flags.StringVar(&t.config, "config", "", "path of a controller's settings file (TOML), instead of --controller")
	flags.BoolVar(&t.json, "json", false, "print JSON")
}

// address returns the address of the controller.
func (t *drainTarget) address() (string, error) {
	switch {
	case t.controller != "" && t.config != "":
		return "", settings.Invalid("controller", "cannot be given together with config")
	case t.controller != "":
		return t.controller, nil
	case t.config == "":
		return "", settings.Invalid("controller", "is missing; give --controller or --config")
	}
	s, err := load.Settings(t.config, "")
	if err != nil {
		return "", err
	}
	return s.PeerAddr, nil
}

// send sends a request and prints the reply.
func (t *drainTarget) send(cmd *cobra.Command, request peer.DrainRequest) error {
	address, err := t.address()
	if err != nil {
		return err
	}
	reply, err := callDrain(cmd.Context(), address, request)
	if err != nil {
		return err
	}
	if t.json {
		encoder := json.NewEncoder(cmd.OutOrStdout())
		encoder.SetIndent("", "  ")
		return encoder.Encode(reply)
	}
	printReply(cmd.OutOrStdout(), request.Op, reply)
	return nil
}

// callDrain sends a request to the controller at an address. It returns an error if the
// controller refuses the request.
func callDrain(ctx context.Context, address string, request peer.DrainRequest) (*peer.DrainReply, error) {
	client, err := peer.Dial(address)
	if err != nil {
		return nil, err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, constants.DrainCallTimeout+constants.PeerTimeout)
	defer cancel()
	reply, err := client.Drain(ctx, request)
	switch {
	case errors.Is(err, peer.ErrDrainingDisabled):
		return nil, err
	case err != nil:
		return nil, fmt.Errorf("%s of a drain at %s: %w", request.Op, address, err)
	case reply.Problem != nil:
		return nil, reply.Problem
	}
	return &reply, nil
}
