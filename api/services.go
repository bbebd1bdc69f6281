package api

import (
	"maps"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/lavenderstand/lavenderstand/traffic"
)

// proxyService forwards a request to a plain service and returns the service's
// response.
func (s *CallerHandlers) proxyService(c echo.Context) error {
	request, err := s.serviceRequest(c)
	if err != nil {
		return writeError(c, err)
	}
	ctx, cancel, err := s.withDeadline(c)
	if err != nil {
		return writeError(c, err)
	}
	defer cancel()
	reply, err := s.Router.Serve(ctx, request)
	if err != nil {
		return writeError(c, err)
	}
	id := c.Response().Header().Get(headerRequestID)
	maps.Copy(c.Response().Header(), reply.Header)
	c.Response().Header().Set(headerRequestID, id)
	c.Response().WriteHeader(reply.Status)
	_, err = c.Response().Write(reply.Body)
	return err
}

func (s *CallerHandlers) serviceRequest(c echo.Context) (traffic.ServiceRequest, error) {
	r := c.Request()
	key := r.Header.Get(headerIdempotencyKey)
	if key != "" && !validName(key) {
		return traffic.ServiceRequest{}, badRequest("%s must be at most %d visible ASCII characters", headerIdempotencyKey, maxNameBytes)
	}
	body, err := s.readBody(c)
	if err != nil {
		return traffic.ServiceRequest{}, err
	}
	// Forward the escaped path, so that an escaped slash remains escaped.
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/")
	if _, rest, ok := strings.Cut(path, "/"); ok {
		path = "/" + rest
	} else {
		path = "/"
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return traffic.ServiceRequest{
		Origin: origin(c), Route: c.Param("route"), Key: key,
		Call: traffic.Call{Method: r.Method, Path: path, Header: r.Header, Body: body},
	}, nil
}
