package peer_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lavenderstand/lavenderstand/peer"
)

// TestPanicEndsOneCall guards against a call of another process that ends this one.
func TestPanicEndsOneCall(t *testing.T) {
	core, logs := observer.New(zap.ErrorLevel)
	intercept := peer.RecoverInterceptor(zap.New(core))
	info := &grpc.UnaryServerInfo{FullMethod: "/m"}
	resp, err := intercept(context.Background(), nil, info, func(context.Context, any) (any, error) { panic("malformed call") })
	require.Nil(t, resp)
	require.NotEqual(t, codes.OK, status.Code(err))
	require.Len(t, logs.All(), 1)
	require.Equal(t, "/m", logs.All()[0].ContextMap()["method"])
	require.Contains(t, logs.All()[0].ContextMap()["error"], "malformed call")

	resp, err = intercept(context.Background(), nil, info, func(context.Context, any) (any, error) { return 1, nil })
	require.NoError(t, err)
	require.Equal(t, 1, resp)
}
