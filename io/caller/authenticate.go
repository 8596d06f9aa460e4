package caller

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
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
	sum := sha256.Sum256([]byte(key))
	workspace, ok := find(s.Document().Workspaces(), hex.EncodeToString(sum[:]))
	if !ok {
		WriteError(c, UnauthorizedError{})
		return
	}
	c.Set(workspaceKey, workspace)
}

// find compares with every workspace, so that its time tells nothing about the digests.
func find(workspaces []config.Workspace, digest string) (config.Workspace, bool) {
	found := -1
	for i := range workspaces {
		if subtle.ConstantTimeCompare([]byte(workspaces[i].KeyDigest), []byte(digest)) == 1 {
			found = i
		}
	}
	if found < 0 {
		return config.Workspace{}, false
	}
	return workspaces[found], true
}
