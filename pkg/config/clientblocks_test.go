package config_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/findings"
)

// Guards against a deployment with two sources of client blocks, against an index
// that is not a SHA-256, and against a block change that updates
// DeploymentChangedAt and so delays larger slot shares.
func TestClientBlocksIndex(t *testing.T) {
	doc := baseDocument(t)
	index := strings.Repeat("a5", 32)
	both := doc.Deployment
	both.ClientBlocksIndex = index
	_, err := config.Apply(doc, newChange("both"), config.ApplyDeployment{Deployment: both, BaseVersion: 1})
	var list *findings.Error
	require.ErrorAs(t, err, &list)
	require.Equal(t, "deployment.client_blocks_index", list.Findings[0].Path)
	for _, bad := range []string{"", "a5", strings.ToUpper(index)} {
		_, err = config.Apply(doc, newChange("bad"), config.SetClientBlocksIndex{Index: bad, BaseVersion: 1})
		require.ErrorAs(t, err, &list)
	}

	next := mustApply(t, doc, "index", config.SetClientBlocksIndex{Index: index, BaseVersion: 1})
	require.Equal(t, index, next.Deployment.ClientBlocksIndex)
	require.Empty(t, next.Deployment.ClientBlocks)
	require.Equal(t, next.Version, next.DeploymentVersion)
	require.Equal(t, doc.DeploymentChangedAt, next.DeploymentChangedAt)
	require.NotEmpty(t, doc.Deployment.ClientBlocks)

	var conflict *config.ConflictError
	_, err = config.Apply(next, newChange("late"), config.SetClientBlocksIndex{Index: index, BaseVersion: 1})
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, "index", conflict.ChangeID)
	op, err := config.WrapOperation(config.SetClientBlocksIndex{Index: index, BaseVersion: 1}).Unwrap()
	require.NoError(t, err)
	require.Equal(t, config.SetClientBlocksIndex{Index: index, BaseVersion: 1}, op)
}
