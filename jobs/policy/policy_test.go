package policy

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/internal/strictoml"
	"github.com/postmount/postmount/jobs/admission"
	"github.com/postmount/postmount/jobs/capacity"
	"github.com/postmount/postmount/jobs/owner"
)

func write(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "policy.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestDeployedFileIsValid(t *testing.T) {
	s, err := Load("../../deploy/policy.toml")
	require.NoError(t, err)
	assert.Equal(t, owner.SchedulePriority, s.Jobs.Order)
	assert.Equal(t, capacity.Demand, s.Pools.Size)
}

func TestMissingSettingsHaveDefaults(t *testing.T) {
	s, err := Load(write(t, "[jobs]\norder = \"slack\"\n"))
	require.NoError(t, err)
	assert.Equal(t, owner.ScheduleLeastSlack, s.Jobs.Order)
	assert.Equal(t, capacity.DefaultWeights, s.Pools.Weights())
	assert.Equal(t, admission.Late, s.Jobs.Admission)
}

func TestAllErrorsAreReported(t *testing.T) {
	_, err := Load(write(t, "[jobs]\norder = \"best\"\nadmission = \"sometimes\"\n[pools]\nmove = -1.0\nsise = \"demand\"\n"))
	var invalid *strictoml.InvalidFileError
	require.ErrorAs(t, err, &invalid)
	var keys []string
	for _, p := range invalid.Problems {
		keys = append(keys, p.Key)
	}
	assert.ElementsMatch(t, []string{"jobs.admission", "jobs.order", "pools.move", "pools.sise"}, keys)
}
