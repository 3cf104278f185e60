package boundedjson_test

import (
	"encoding/json"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/internal/boundedjson"
	"example.org/comfreyrouter/platform"
)

// TestStepsWithoutEndTakeLittleMemory guards against a job within the limit of bodies whose many short steps hold a hundred times its size.
func TestStepsWithoutEndTakeLittleMemory(t *testing.T) {
	for _, step := range []string{"{}", "null"} {
		body := []byte(`{"spec":"x","pipeline":[` + strings.Repeat(step+",", 80_000) + `{}]}`)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := platform.DecodeSpec(body)
		runtime.ReadMemStats(&after)
		require.ErrorIs(t, err, boundedjson.ErrTooMany)
		require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(2*len(body)))
	}
}

// TestValuesAreCounted guards against an array within the bound that is refused, and a longer one that is decoded.
func TestValuesAreCounted(t *testing.T) {
	for _, value := range []string{`{}`, `null`, `{"a":[1,2,[3,4]],"b":{"c":5,"d":6}}`, `"a,\"b,\\"`, `[1,2,3]`} {
		for n, fits := range map[int]bool{0: true, 1: true, boundedjson.MaxValues: true, boundedjson.MaxValues + 1: false} {
			text := "[" + strings.TrimSuffix(strings.Repeat(value+" , ", n), " , ") + "]"
			var l boundedjson.List[any]
			err := json.Unmarshal([]byte(text), &l)
			require.Equal(t, fits, err == nil, text)
			if fits {
				require.Len(t, l, n)
			}
		}
	}
	l := boundedjson.List[int]{1}
	require.NoError(t, json.Unmarshal([]byte("null"), &l))
	require.Empty(t, l)
	require.Error(t, json.Unmarshal([]byte(`{"a":1}`), &l))
}
