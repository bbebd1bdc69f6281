package peer

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
)

// TokenInterceptor returns a server interceptor that rejects a call if check returns
// an error for its authorization value. A rejected call is not executed.
func TokenInterceptor(check func(authorization string) error) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
		if err := check(authorization(ctx)); err != nil {
			return nil, StatusOf(err)
		}
		return handler(ctx, req)
	}
}

func authorization(ctx context.Context) string {
	md, _ := metadata.FromIncomingContext(ctx)
	if values := md.Get("authorization"); len(values) == 1 {
		return values[0]
	}
	return ""
}
