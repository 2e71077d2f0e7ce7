// Package peer carries messages between controllers over gRPC, encoded as JSON.
//
// Safety does not depend on them: they bring earlier what the records in the store bring
// anyway, or have one controller write what another one cannot.
package peer

import (
	"context"
	"fmt"
	"net"

	"google.golang.org/grpc"

	"ravenport/constants"
)

// serviceName is the service's name on the wire.
const serviceName = "ravenport.Peer"

// Handlers take in what other controllers send.
type Handlers struct {
	Status    StatusHandler
	Commit    CommitHandler
	Detection DetectionHandlers
	Drain     DrainHandler // nil where draining is off
}

// serviceDesc describes the service to gRPC. There is no generated code: methods are
// functions of Handlers, and messages are encoded by codec.
var serviceDesc = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*any)(nil),
	Methods: []grpc.MethodDesc{
		pushMethodDesc,
		commitMethodDesc,
		heartbeatMethodDesc,
		probeMethodDesc,
		drainMethodDesc,
	},
}

// methodHandler answers the requests of one method.
type methodHandler[Request, Reply any] = func(context.Context, Request) (Reply, error)

// unaryMethod describes a method with one request and one reply. handlerOf returns the
// method's handler, or the error that answers all calls where the method is off.
func unaryMethod[Request, Reply any](name string, handlerOf func(Handlers) (methodHandler[Request, Reply], error)) grpc.MethodDesc {
	handler := func(srv any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		handle, err := handlerOf(srv.(Handlers))
		if err != nil {
			return nil, err
		}
		var request Request
		if err := decode(&request); err != nil {
			return nil, err
		}
		reply, err := handle(ctx, request)
		return &reply, err
	}
	return grpc.MethodDesc{MethodName: name, Handler: handler}
}

// Serve answers other controllers on addr until ctx ends.
func Serve(ctx context.Context, addr string, h Handlers) error {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	server := grpc.NewServer(
		grpc.MaxRecvMsgSize(constants.PeerMaxMessageBytes),
		grpc.NumStreamWorkers(1),
		grpc.ReadBufferSize(constants.PeerBufferBytes),
		grpc.WriteBufferSize(constants.PeerBufferBytes))
	server.RegisterService(&serviceDesc, h)
	context.AfterFunc(ctx, server.Stop)
	return server.Serve(listener)
}
