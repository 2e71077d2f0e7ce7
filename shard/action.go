package shard

import "ravenport/wire"

// Action is something the actor has to do: SendCommands, Commit, Rent, Gone or Return.
type Action interface{ isAction() }

func (SendCommands) isAction()    {}
func (Commit) isAction()          {}
func (ScaleOut) isAction()        {}
func (CloseConnection) isAction() {}
func (ScaleIn) isAction()         {}

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

// ScaleOut asks the cloud for machines.
type ScaleOut struct{ Request wire.ScaleOutRequest }

// CloseConnection says that a machine is gone and its connection can be closed.
type CloseConnection struct{ Addr string }

// ScaleIn gives machines back.
type ScaleIn struct{ Names []string }
