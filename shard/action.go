package shard

import "ravenport/wire"

// Action is something the actor has to do: SendCommands, Commit, ScaleOut, CloseConnection
// or ScaleIn.
type Action interface{ isAction() }

func (SendCommands) isAction()    {}
func (Commit) isAction()          {}
func (ScaleOut) isAction()        {}
func (CloseConnection) isAction() {}
func (ScaleIn) isAction()         {}

// SendCommands sends a request with commands directly to a machine. Its outcome is passed
// to Core.CommandResult.
type SendCommands struct {
	Machine, Addr string
	Request       wire.CommandRequest
}

// Commit writes a transaction to the key-value store. Its outcome is passed to
// Core.CommitResult or Core.CommitInvalid with ID.
type Commit struct {
	ID  CommitID
	Txn wire.Txn
}

// ScaleOut requests machines from the cloud. Its outcome is passed to Core.ScaleOutResult.
type ScaleOut struct{ Request wire.ScaleOutRequest }

// CloseConnection closes the connection to a machine that was terminated.
type CloseConnection struct{ Addr string }

// ScaleIn terminates machines. Its outcome is passed to Core.ScaleInResult.
type ScaleIn struct{ Names []string }
