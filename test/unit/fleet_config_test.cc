// Failures guarded against: an invalid document is accepted; a request takes
// the route of another host or of a shorter prefix; a key gives access to
// another workspace.
#include <gtest/gtest.h>

#include <ostream>
#include <string>

extern "C" {
#include "base/error.h"
#include "fleet/dialect.h"
#include "fleet/fleet_config.h"
}

namespace {

const char kServices[] =
    R"("Services":{"s1":{"HealthPath":"/h","MaxConns":10},)"
    R"("s2":{"HealthPath":"/h","MaxConns":10}})";

std::string
Route(const std::string &name, const std::string &host,
    const std::string &prefix, const std::string &more)
{
	return "\"" + name + "\":{\"Host\":\"" + host + "\",\"PathPrefix\":\"" +
	    prefix + "\",\"Kind\":\"safe\",\"MaxAttempts\":2," + more + "}";
}

std::string
Document(const std::string &routes, const std::string &more = "")
{
	return "{\"Version\":7,\"Routes\":{" + routes + "}," + kServices +
	    more + "}";
}

class PlatformConfig : public testing::Test {
      protected:
	~PlatformConfig() override
	{
		fleet_config_destroy(config_);
	}

	int
	Read(const std::string &text)
	{
		fleet_config_destroy(config_);
		config_ = nullptr;
		problem_[0] = '\0';
		return (dialect_find("platform")
			    ->read_config(
				text.data(), text.size(), &config_, problem_));
	}

	std::string
	FindRoute(const std::string &host, const std::string &path)
	{
		const fleet_route_t *route = fleet_config_find_route(config_,
		    host.data(), host.size(), path.data(), path.size());

		return (route != nullptr ? route->name : "none");
	}

	fleet_config_t *config_ = nullptr;
	char problem_[FLEET_CONFIG_PROBLEM_BYTES] = "";
};

const char kPlain[] = R"("TimeoutS":2.5,"TargetLatencyS":1.2,"Service":"s1")";

} // namespace

TEST_F(PlatformConfig, ReadsAllFields)
{
	ASSERT_EQ(TM_OK,
	    Read(Document(
		Route("r1", "a.example", "/x/",
		    R"("TimeoutS":2.5,"TargetLatencyS":1.2,"Priority":2,)"
		    R"("TrafficSplit":[{"Service":"s1","Weight":90},)"
		    R"({"Service":"s2","Weight":10}],"Anonymous":true)"),
		R"(,"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1000,)"
		R"("HeaderTimeoutS":3,"IdleTimeoutS":15},)"
		R"("Tenants":{"w1":{"ApiKeys":["k1","k2"],"Priority":1,)"
		R"("RatePerS":42.5,"Burst":40}})")))
	    << problem_;
	ASSERT_EQ(1u, config_->route_count);
	EXPECT_EQ(7u, config_->version);
	EXPECT_EQ(2500, config_->routes[0].timeout_ms);
	EXPECT_EQ(1200, config_->routes[0].soft_deadline_ms);
	EXPECT_EQ(2u, config_->routes[0].attempts_max);
	EXPECT_EQ(2, config_->routes[0].priority);
	EXPECT_TRUE(config_->routes[0].repeat_allowed);
	EXPECT_TRUE(config_->routes[0].is_open);
	ASSERT_EQ(2u, config_->routes[0].part_count);
	EXPECT_DOUBLE_EQ(100, config_->routes[0].weight_sum);
	EXPECT_EQ(16384u, config_->limits.header_max_bytes);
	EXPECT_EQ(15000, config_->limits.idle_timeout_ms);
	ASSERT_TRUE(config_->needs_keys);
	const fleet_workspace_t *w = fleet_config_find_key(config_, "k2", 2);
	ASSERT_NE(nullptr, w);
	EXPECT_STREQ("w1", w->name);
	EXPECT_DOUBLE_EQ(42.5, w->rate_per_s);
	EXPECT_EQ(nullptr, fleet_config_find_key(config_, "k", 1));
	EXPECT_EQ(nullptr, fleet_config_find_key(config_, "k22", 3));
}

// A kind of route that is not known refuses the whole document, so that a fleet
// with routes for downloads serves nothing at all.
TEST_F(PlatformConfig, RepeatsDownloadsAndNotWhatIsUnsafe)
{
	const std::string more =
	    R"("Host":"a","MaxAttempts":2,)" + std::string(kPlain) + "}";

	ASSERT_EQ(TM_OK,
	    Read(Document(R"("d":{"Kind":"download","PathPrefix":"/d/",)" +
		more + "," + R"("u":{"Kind":"unsafe","PathPrefix":"/u/",)" +
		more)))
	    << problem_;
	ASSERT_EQ("d", FindRoute("a", "/d/1"));
	ASSERT_EQ("u", FindRoute("a", "/u/1"));
	EXPECT_TRUE(fleet_config_find_route(config_, "a", 1, "/d/1", 4)
			->repeat_allowed);
	EXPECT_FALSE(fleet_config_find_route(config_, "a", 1, "/u/1", 4)
			 ->repeat_allowed);
}

// The operator can't mend a document that is refused without the word that is
// wrong and the words that are right.
TEST_F(PlatformConfig, NamesTheKindsThatAreKnown)
{
	EXPECT_EQ(TM_EINVAL,
	    Read(Document(R"("r9":{"Kind":"stream","Host":"a",)"
			  R"("PathPrefix":"/u/","MaxAttempts":2,)" +
		std::string(kPlain) + "}")));
	EXPECT_STREQ(
	    "r9: Kind: \"stream\" found, safe, download, upload or unsafe "
	    "is expected",
	    problem_);
}

TEST_F(PlatformConfig, TakesTheLongestPrefixOfTheHost)
{
	ASSERT_EQ(TM_OK,
	    Read(Document(Route("short", "a.example", "/x/", kPlain) + "," +
		Route("long", "a.example", "/x/y/", kPlain) + "," +
		Route("other", "b.example", "/x/y/z/", kPlain) + "," +
		Route("longhost", "a.example.org", "/x/y/z/", kPlain))))
	    << problem_;
	EXPECT_EQ("long", FindRoute("a.example", "/x/y/z/1"));
	EXPECT_EQ("short", FindRoute("a.example", "/x/z"));
	EXPECT_EQ("short", FindRoute("A.EXAMPLE", "/x/"));
	EXPECT_EQ("other", FindRoute("b.example", "/x/y/z/1"));
	EXPECT_EQ("none", FindRoute("b.example", "/x/y/1"));
	EXPECT_EQ("none", FindRoute("a.exampl", "/x/"));
	EXPECT_EQ("none", FindRoute("a.example", "/x"));
}

struct BadCase {
	const char *name;
	std::string text;
};

/* Without this GoogleTest prints the bytes, padding included. */
std::ostream &
operator<<(std::ostream &out, const BadCase &bad)
{
	return (out << bad.name);
}

class PlatformConfigBad : public PlatformConfig,
			  public testing::WithParamInterface<BadCase> {};

TEST_P(PlatformConfigBad, IsRefusedWithAReason)
{
	EXPECT_NE(TM_OK, Read(GetParam().text));
	EXPECT_EQ(nullptr, config_);
	EXPECT_STRNE("", problem_);
}

INSTANTIATE_TEST_SUITE_P(All, PlatformConfigBad,
    testing::Values(BadCase{ "CutShort",
			Document(Route("r", "a", "/", kPlain)).substr(0, 90) },
	BadCase{ "NoDocument", "" }, BadCase{ "NoTable", "[]" },
	BadCase{ "NoVersion", "{\"Routes\":{},\"Services\":{}}" },
	BadCase{ "NoRoutes", "{\"Version\":1,\"Services\":{}}" },
	BadCase{ "UnknownService",
	    Document(Route("r", "a", "/", R"("TimeoutS":2,"Service":"s3")")) },
	BadCase{ "UnknownServiceInSplit",
	    Document(Route("r", "a", "/",
		R"("TimeoutS":2,"TrafficSplit":[{"Service":"s1","Weight":1},)"
		R"({"Service":"s3","Weight":0}])")) },
	BadCase{ "UnknownServiceBesideSplit",
	    Document(Route("r", "a", "/",
		R"("TimeoutS":2,"Service":"s3",)"
		R"("TrafficSplit":[{"Service":"s1","Weight":1}])")) },
	BadCase{ "NegativeWeight",
	    Document(Route("r", "a", "/",
		R"("TimeoutS":2,"TrafficSplit":[{"Service":"s1","Weight":5},)"
		R"({"Service":"s2","Weight":-1}])")) },
	BadCase{ "NoWeightAtAll",
	    Document(Route("r", "a", "/",
		R"("TimeoutS":2,"TrafficSplit":[{"Service":"s1","Weight":0}])")) },
	/* gmpco-veg, trouble-3, seed 1046668183009 */
	BadCase{ "TimeoutOfZero",
	    Document(Route("r", "a", "/",
		R"("TimeoutS":0,"TargetLatencyS":0.6,"Service":"s1")")) },
	BadCase{ "AimAMinuteOverTheTimeout",
	    Document(Route("r", "a", "/",
		R"("TimeoutS":2,"TargetLatencyS":62,"Service":"s1")")) },
	BadCase{ "SamePlace",
	    Document(Route("r1", "a", "/x/", kPlain) + "," +
		Route("r2", "A", "/x/", kPlain)) },
	BadCase{ "SharedKey",
	    Document(Route("r", "a", "/", kPlain),
		R"(,"Tenants":{"w1":{"ApiKeys":["k"]},"w2":{"ApiKeys":["k"]}})") },
	BadCase{ "RouteTwice",
	    Document(Route("r", "a", "/x/", kPlain) + "," +
		Route("r", "b", "/x/", kPlain)) }),
    [](const testing::TestParamInfo<BadCase> &info) {
	    return (std::string(info.param.name));
    });

TEST_F(PlatformConfig, AcceptsAnAimJustBelowTheBound)
{
	EXPECT_EQ(TM_OK,
	    Read(Document(Route("r", "a", "/",
		R"("TimeoutS":2,"TargetLatencyS":61.9,"Service":"s1")"))))
	    << problem_;
}

TEST_F(PlatformConfig, AcceptsAPartWithoutWeight)
{
	EXPECT_EQ(TM_OK,
	    Read(Document(Route("r", "a", "/",
		R"("TimeoutS":2,"TrafficSplit":[{"Service":"s1","Weight":1},)"
		R"({"Service":"s2","Weight":0}])"))))
	    << problem_;
}
