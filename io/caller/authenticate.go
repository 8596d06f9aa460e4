package caller

import (
	"strings"

	"github.com/gin-gonic/gin"

	"radishhollow/core/config"
)

const workspaceContextKey = "radishhollow-workspace"

// WorkspaceOf returns the authenticated workspace of a request, or the zero Workspace if there is none.
func WorkspaceOf(c *gin.Context) config.Workspace {
	value, _ := c.Get(workspaceContextKey)
	workspace, _ := value.(config.Workspace)
	return workspace
}

func (s *Server) authenticate(c *gin.Context) {
	scheme, apiKey, _ := strings.Cut(c.GetHeader("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || apiKey == "" {
		WriteError(c, UnauthorizedError{})
		return
	}
	workspace, ok := s.Document().WorkspaceByKey(apiKey)
	if !ok {
		WriteError(c, UnauthorizedError{})
		return
	}
	c.Set(workspaceContextKey, workspace)
}
