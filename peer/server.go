// Package peer carries messages between controllers over gRPC, encoded as JSON.
//
// Safety does not depend on these messages. They deliver information earlier than the
// records in the store do, or let one controller write to the store on behalf of another
// one that cannot reach the store.
package peer

import (
	"context"
	"fmt"
	"net"

	"google.golang.org/grpc"

	"ravenport/constants"
)

// serviceName is the service's name in gRPC requests.
const serviceName = "ravenport.Peer"

// Handlers handle the messages that other controllers send.
type Handlers struct {
	Status    StatusHandler
	Commit    CommitHandler
	Detection DetectionHandlers
	Drain     DrainHandler // nil if draining is disabled
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

// methodHandler handles the requests of one method.
type methodHandler[Request, Reply any] = func(context.Context, Request) (Reply, error)

// unaryMethod describes a method with one request and one reply. handlerOf returns the
// method's handler or, if the method is disabled, the error to return for every call.
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

// Serve handles requests from other controllers on addr until ctx is done.
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
