#include "core/Metrics.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace lovagecourse;

// Guards against a distribution of prediction errors that mixes services, miscounts a value on a
// bucket's edge or counts values that are no ratios.
TEST_CASE("metrics, ratios of two services, each has its own cumulative buckets")
{
    Metrics metrics;
    for (const double value : {0.1, 0.25, 0.9, 3., 9.})
        metrics.ratio("test_ratio", "llm", value);
    metrics.ratio("test_ratio", "a\"b\\\n", 1);
    for (const double value :
         {-1., std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN()})
        metrics.ratio("test_ratio", "llm", value);
    const std::string page = metrics.renderPrometheus();
    const std::string expected = "test_ratio_bucket{service=\"llm\",le=\"0.25\"} 2\n"
                                 "test_ratio_bucket{service=\"llm\",le=\"0.5\"} 2\n"
                                 "test_ratio_bucket{service=\"llm\",le=\"0.8\"} 2\n"
                                 "test_ratio_bucket{service=\"llm\",le=\"1.25\"} 3\n"
                                 "test_ratio_bucket{service=\"llm\",le=\"2\"} 3\n"
                                 "test_ratio_bucket{service=\"llm\",le=\"4\"} 4\n"
                                 "test_ratio_bucket{service=\"llm\",le=\"+Inf\"} 5\n"
                                 "test_ratio_sum{service=\"llm\"} 13.25\n"
                                 "test_ratio_count{service=\"llm\"} 5\n";
    CHECK(page.find(expected) != std::string::npos);
    CHECK(page.find("test_ratio_count{service=\"a\\\"b\\\\\\n\"} 1\n") != std::string::npos);
    CHECK(page.find("# TYPE test_ratio histogram") == page.rfind("# TYPE test_ratio histogram"));
}
