// Failures guarded against: wrong quantiles, unescaped log text, a generator
// that does not repeat its sequence.
#include <gtest/gtest.h>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "base/due_heap.h"
#include "base/error.h"
#include "base/hist.h"
#include "base/latency.h"
#include "base/hist_ranges.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/node_defs.h"
#include "base/rng.h"
}

TEST(Hist, QuantileIsWithinOneSixteenth)
{
	hist_t hist;

	hist_reset(&hist);
	for (int i = 1; i <= 100000; i++)
		hist_record(&hist, i);
	for (double q : { 0.01, 0.5, 0.99, 0.999 }) {
		double exact = q * 100000;
		double found = (double)hist_get_quantile_us(&hist, q);
		EXPECT_GE(found, exact);
		EXPECT_LE(found, exact * (1 + 1.0 / 16) + 1);
	}
}

TEST(Hist, BucketEdgesAreMonotonic)
{
	for (uint32_t i = 1; i < HIST_BUCKETS; i++)
		EXPECT_GT(
		    hist_get_bucket_edge_us(i), hist_get_bucket_edge_us(i - 1));
}

TEST(Hist, HugeAndNegativeValuesStayInRange)
{
	hist_t hist;

	hist_reset(&hist);
	hist_record(&hist, INT64_MAX);
	hist_record(&hist, -5);
	EXPECT_EQ(hist.count, 2u);
	EXPECT_EQ(hist_get_quantile_us(&hist, 0.0), 0u);
}

TEST(Log, EscapesTextFromOutside)
{
	char *text = nullptr;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);

	log_configure(out, LOG_LEVEL_INFO, "n1");
	LOG_EVENT(100, LOG_LEVEL_WARN, "m", LOG_TEXT("f", "a\"b\n"),
	    LOG_NUM("size_bytes", 7));
	LOG_EVENT(100, LOG_LEVEL_DEBUG, "not written");
	fclose(out);
	log_configure(stderr, LOG_LEVEL_INFO, "");
	std::string line(text);
	free(text);
	EXPECT_NE(line.find("\"f\":\"a\\\"b\\u000a\",\"size_bytes\":7}"),
	    std::string::npos);
	EXPECT_EQ(line.find("not written"), std::string::npos);
}

TEST(Rng, RepeatsItsSequenceAndStaysBelowTheBound)
{
	rng_t a;
	rng_t b;

	rng_init(&a, 7);
	rng_init(&b, 7);
	for (int i = 0; i < 1000; i++)
		EXPECT_EQ(rng_next(&a), rng_next(&b));
	for (int i = 0; i < 1000; i++)
		EXPECT_LT(rng_below(&a, 3), 3u);
	EXPECT_EQ(rng_below(&a, 0), 0u);
}

// Guards against an item that is visited late or twice after its time was
// changed or others were taken out.
TEST(DueHeap, GivesItemsInTheOrderOfTheirTimes)
{
	due_heap_t heap = {};
	std::vector<due_item_t> items(200);
	int64_t last_ms = 0;
	size_t left = 0;
	rng_t rng;

	rng_init(&rng, 5);
	for (int round = 0; round < 5; round++)
		for (due_item_t &item : items)
			EXPECT_EQ(due_heap_set(&heap, &item,
				      (int64_t)rng_below(&rng, 1000)),
			    0);
	for (size_t i = 0; i < items.size(); i += 3)
		due_heap_remove(&heap, &items[i]);
	due_heap_remove(&heap, &items[0]);
	while (due_item_t *first = due_heap_get_first(&heap)) {
		EXPECT_GE(first->due_ms, last_ms);
		last_ms = first->due_ms;
		due_heap_remove(&heap, first);
		left++;
	}
	EXPECT_EQ(left, items.size() - 67);
	due_heap_clear(&heap);
}

// Guards against counts that land in another bucket when a range is made
// between others, and against a merge that loses some.
TEST(Hist, RangesCountTheSameAsAPlainHistogram)
{
	hist_t plain, found;
	hist_ranges_t parts[2] = {};
	rng_t rng;

	rng_init(&rng, 11);
	hist_reset(&plain);
	hist_reset(&found);
	for (int i = 0; i < 10000; i++) {
		int64_t value =
		    (int64_t)(rng_next(&rng) >> rng_below(&rng, 64));
		hist_record(&plain, value);
		EXPECT_EQ(hist_ranges_record(&parts[i % 2], value), 0);
	}
	EXPECT_EQ(hist_ranges_merge(&parts[0], &parts[1]), 0);
	hist_ranges_add_to(&parts[0], &found);
	EXPECT_EQ(memcmp(&plain, &found, sizeof(plain)), 0);
	hist_ranges_clear(&parts[0]);
	hist_ranges_clear(&parts[1]);
}

TEST(Metrics, WritesCountersAndHistograms)
{
	metrics_t *metrics = metrics_create();
	metric_t *hist;
	size_t len;

	metric_add(metrics_get(metrics, "requests_total", "workspace=\"a\"",
		       METRIC_COUNTER),
	    3);
	hist = metrics_get(metrics, "latency_us", "", METRIC_HISTOGRAM);
	metric_record_us(hist, 5);
	char *text = metrics_format(metrics, &len);
	EXPECT_NE(strstr(text, "requests_total{workspace=\"a\"} 3\n"), nullptr);
	EXPECT_NE(strstr(text, "latency_us{quantile=\"0.99\"} 5\n"), nullptr);
	free(text);
	metrics_destroy(metrics);
}

// Guards against a family that is split by another one, which readers of the
// format reject, and against buckets that do not add up.
TEST(Metrics, KeepsFamiliesTogetherAndBucketsCumulative)
{
	metrics_t *metrics = metrics_create();
	size_t len;

	metrics_get(metrics, "b_us", "w=\"1\"", METRIC_HISTOGRAM);
	metrics_get(metrics, "a_total", "", METRIC_COUNTER);
	metric_t *hist =
	    metrics_get(metrics, "b_us", "w=\"0\"", METRIC_HISTOGRAM);
	for (int64_t value_us : { 1, 60, 100, 1000, 1 << 30 })
		metric_record_us(hist, value_us);
	char *text = metrics_format(metrics, &len);
	std::string all(text, len);
	free(text);
	metrics_destroy(metrics);
	EXPECT_EQ(all.find("# TYPE a_total counter"), 0u);
	size_t summary = all.find("# TYPE b_us summary");
	ASSERT_NE(summary, std::string::npos);
	EXPECT_EQ(
	    all.find("# TYPE b_us summary", summary + 1), std::string::npos);
	EXPECT_LT(all.find("b_us{w=\"0\",quantile=\"0.5\"}"),
	    all.find("b_us{w=\"1\",quantile=\"0.5\"}"));
	EXPECT_LT(all.find("b_us_count{w=\"1\"} 0"),
	    all.find("# TYPE b_us_hist histogram"));
	EXPECT_NE(all.find("b_us_hist_bucket{w=\"0\",le=\"64\"} 2\n"),
	    std::string::npos);
	EXPECT_NE(all.find("b_us_hist_bucket{w=\"0\",le=\"1024\"} 4\n"),
	    std::string::npos);
	EXPECT_NE(all.find("b_us_hist_bucket{w=\"0\",le=\"67108864\"} 4\n"),
	    std::string::npos);
	EXPECT_NE(all.find("b_us_hist_bucket{w=\"0\",le=\"+Inf\"} 5\n"),
	    std::string::npos);
	EXPECT_NE(all.find("b_us_hist_count{w=\"0\"} 5\n"), std::string::npos);
}

TEST(Node, NamesAreChecked)
{
	EXPECT_TRUE(node_name_is_valid("entry-1.a"));
	EXPECT_FALSE(node_name_is_valid(""));
	EXPECT_FALSE(node_name_is_valid("-a"));
	EXPECT_FALSE(node_name_is_valid("a b"));
	EXPECT_FALSE(node_name_is_valid(std::string(64, 'a').c_str()));
	EXPECT_EQ(node_id_from_name(""), NODE_ID_NONE);
}

TEST(Error, EachNumberHasATextAndARemedy)
{
	for (int err = TM_ENOMEM; err >= TM_EEMPTY; err--)
		EXPECT_STRNE(error_get_text(err), "unknown error");
	EXPECT_STREQ(error_get_text(-1000), "unknown error");
	EXPECT_STREQ(error_get_remedy(5), "");
}

// A reader that stops must not stop the process, and a flood of one event must
// not hide the others.
TEST(LogBounded, NeverBlocksAndCountsWhatIsLeftOut)
{
	int fds[2];
	std::string text;
	char buffer[65536];
	ssize_t count;

	ASSERT_EQ(0, pipe(fds));
	ASSERT_EQ(0, fcntl(fds[0], F_SETFL, O_NONBLOCK));
	log_configure(stdout, LOG_LEVEL_INFO, "n1");
	pid_t child = fork();
	ASSERT_GE(child, 0);
	if (child == 0) {
		std::string field(2000, 'x');

		/* The pipe holds some 30 of these lines; nobody reads. */
		if (log_set_bounded(fds[1]) != 0)
			_exit(1);
		for (int i = 0; i < 90; i++)
			log_write(
			    900 + i, LOG_LEVEL_INFO, field.c_str(), nullptr, 0);
		_exit(log_get_dropped() > 20 ? 0 : 2);
	}
	int status = 0;
	ASSERT_EQ(child, waitpid(child, &status, 0));
	EXPECT_EQ(0, status);
	while ((count = read(fds[0], buffer, sizeof(buffer))) > 0)
		text.append(buffer, (size_t)count);
	/* Whole lines only. */
	ASSERT_FALSE(text.empty());
	EXPECT_EQ('\n', text.back());
	child = fork();
	if (child == 0) {
		if (log_set_bounded(fds[1]) != 0)
			_exit(1);
		for (int i = 0; i < 5 * LOG_LINES_PER_S; i++)
			log_write(901, LOG_LEVEL_INFO, "flood", nullptr, 0);
		log_write(902, LOG_LEVEL_INFO, "other", nullptr, 0);
		_exit(0);
	}
	ASSERT_EQ(child, waitpid(child, &status, 0));
	text.clear();
	while ((count = read(fds[0], buffer, sizeof(buffer))) > 0)
		text.append(buffer, (size_t)count);
	size_t floods = 0;
	for (size_t at = 0; (at = text.find("flood", at)) != std::string::npos;
	     at++)
		floods++;
	/* The flood may have spanned the end of a second. */
	EXPECT_GE(floods, (size_t)LOG_LINES_PER_S);
	EXPECT_LE(floods, (size_t)2 * LOG_LINES_PER_S);
	EXPECT_NE(std::string::npos, text.find("other"));
	close(fds[0]);
	close(fds[1]);
}

// A bound that leaves out how much times vary is exceeded by many of them.
TEST(Latency, TailCoversWhatVaries)
{
	latency_t even = {}, mixed = {};

	EXPECT_LT(latency_get_tail_ms(&even), 0);
	for (int i = 0; i < 400; i++) {
		latency_record(&even, 300, 0.05);
		latency_record(&mixed, i % 10 == 0 ? 3000 : 300, 0.05);
	}
	EXPECT_NEAR((double)latency_get_tail_ms(&even), 300, 10);
	EXPECT_GT(latency_get_tail_ms(&mixed), 2000);
}

/* Guards against a service whose responses take less than 1 ms and that counts as
 * unknown: a gate that stops refuses all its requests. */
TEST(Latency, TimesBelowOneMsAreKnown)
{
	latency_t latency = {};

	latency_record(&latency, 0, 0.05);
	EXPECT_GE(latency_get_tail_ms(&latency), 0);
	EXPECT_LE(latency_get_tail_ms(&latency), 5);
	for (int i = 0; i < 50; i++)
		latency_record(&latency, 0, 0.05);
	EXPECT_GE(latency_get_tail_ms(&latency), 0);
	EXPECT_LE(latency_get_tail_ms(&latency), 1);
}
