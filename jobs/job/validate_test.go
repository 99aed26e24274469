package job

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestTasksOfAnOccurrenceAreBounded has the bound and one above, in one step and over all steps.
func TestTasksOfAnOccurrenceAreBounded(t *testing.T) {
	for _, counts := range [][]int{{MaxTasks}, {MaxTasks - 1, 1}} {
		j := &Job{}
		for _, n := range counts {
			j.Steps = append(j.Steps, Step{Count: n})
		}
		assert.NoError(t, j.Validate())
		assert.Equal(t, MaxTasks, j.TasksPerOccurrence())
		j.Steps[len(j.Steps)-1].Count++
		assert.ErrorContains(t, j.Validate(), "10000")
	}
}
