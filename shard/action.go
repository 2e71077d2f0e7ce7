package shard

import "ravenport/wire"

// Action is an operation that the actor has to carry out: SendCommands, Commit, ScaleOut,
// CloseConnection or ScaleIn.
type Action interface{ isAction() }

func (SendCommands) isAction()    {}
func (Commit) isAction()          {}
func (ScaleOut) isAction()        {}
func (CloseConnection) isAction() {}
func (ScaleIn) isAction()         {}

// SendCommands sends a request with commands directly to a machine. Its result is passed to
// Core.CommandResult.
type SendCommands struct {
	Machine, Addr string
	Request       wire.CommandRequest
}

// Commit writes a transaction to the key-value store. Its result is passed with ID to
// Core.CommitResult, and to Core.CommitInvalid if the store refused the transaction as
// invalid.
type Commit struct {
	ID  CommitID
	Txn wire.Txn
}

// ScaleOut requests machines from the cloud. Its result is passed to Core.ScaleOutResult.
type ScaleOut struct{ Request wire.ScaleOutRequest }

// CloseConnection closes the connection to a machine that was terminated.
type CloseConnection struct{ Addr string }

// ScaleIn terminates machines. Its result is passed to Core.ScaleInResult.
type ScaleIn struct{ Names []string }
