package logclient_test

import (
	"testing"

	"example.org/comfreyrouter/internal/testenv"
)

func TestMain(m *testing.M) { testenv.Main(m) }
