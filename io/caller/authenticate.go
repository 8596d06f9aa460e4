package caller

import (
	"strings"

	"github.com/gin-gonic/gin"

	"radishhollow/core/config"
)

const workspaceKey = "radishhollow-workspace"

// WorkspaceOf returns the authenticated workspace of a request.
func WorkspaceOf(c *gin.Context) config.Workspace {
	value, _ := c.Get(workspaceKey)
	workspace, _ := value.(config.Workspace)
	return workspace
}

func (s *Server) authenticate(c *gin.Context) {
	scheme, key, _ := strings.Cut(c.GetHeader("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		WriteError(c, UnauthorizedError{})
		return
	}
	workspace, ok := s.Document().WorkspaceByKey(key)
	if !ok {
		WriteError(c, UnauthorizedError{})
		return
	}
	c.Set(workspaceKey, workspace)
}
