package peer

import (
	"context"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/lavenderstand/lavenderstand/verdict"
)

// RecoverInterceptor is a server interceptor that answers a call whose handler panics with
// the verdict may have run and the reason internal, and logs the error.
func RecoverInterceptor(log *zap.Logger) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
		resp, err := callHandler(ctx, req, handler)
		if verdict.ReasonOf(err) == verdict.ReasonInternal {
			log.Error("call of another process failed", zap.String("method", info.FullMethod), zap.String("error", verdict.Message(err)))
			return nil, StatusOf(err)
		}
		return resp, err
	}
}

// callHandler calls handler and turns a panic into an error.
func callHandler(ctx context.Context, req any, handler grpc.UnaryHandler) (resp any, err error) {
	defer verdict.Recover(&err)
	return handler(ctx, req)
}
