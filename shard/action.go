package shard

import "ravenport/wire"

// Action is something the actor has to do: SendCommands, Commit, Rent, Gone or Return.
type Action interface{ isAction() }

func (SendCommands) isAction() {}
func (Commit) isAction()       {}
func (Rent) isAction()         {}
func (Gone) isAction()         {}
func (Return) isAction()       {}

// SendCommands is a direct command to a machine.
type SendCommands struct {
	Machine, Addr string
	Request       wire.CommandRequest
}

// Commit is a transaction; its outcome is told with Committed under ID.
type Commit struct {
	ID  string
	Txn wire.Txn
}

// Rent asks the cloud for machines.
type Rent struct{ Request wire.RentRequest }

// Gone says that a machine is gone and its connection can be closed.
type Gone struct{ Addr string }

// Return gives machines back.
type Return struct{ Names []string }
