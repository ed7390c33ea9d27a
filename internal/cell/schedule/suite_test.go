package schedule

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/medlarpulley/medlarpulley/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 1) }

func TestSchedule(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "schedule")
}
