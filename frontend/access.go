package frontend

import (
	"go.uber.org/zap"

	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// checkAccess returns an error unless the caller may access the lot with the given head.
func (s *Service) checkAccess(caller forward.Caller, h *lot.Head) error {
	err := caller.CheckLot(h.ID, h.Organisation)
	if err != nil {
		s.Count("refused", verdict.ReasonOf(err))
	}
	return err
}

// acceptRepeated answers a submission whose lot exists.
func (s *Service) acceptRepeated(caller forward.Caller, id string, h *lot.Head) error {
	if err := s.checkAccess(caller, h); err != nil {
		return err
	}
	s.Log.Info("submission repeated", zap.String("lot", id), zap.String("owner", h.Owner.Host), zap.Int("listed", h.Listed))
	return nil
}
