package frontend

import (
	"context"

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

// checkObjects returns an error if a submission would replace the objects of another
// organisation's lot with the same id. Objects are named after the lot and are written before
// the commit that finds the lot. If the store does not answer, the submission goes on: the
// failure of one partition must not stop all large submissions.
func (s *Service) checkObjects(ctx context.Context, caller forward.Caller, sub *lot.Submission) error {
	if !caller.Identified || sub.EncodedSize() <= lot.MaxInlineBytes {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	existing, err := s.Repository.Head(ctx, sub.ID)
	if err != nil {
		return nil
	}
	return s.checkAccess(caller, &existing.Head)
}
