// Failures guarded against: replicas that diverge, changes applied twice or
// in part, dangling references, a withdrawn key that comes back, a wrong
// route, snapshots that are older or damaged, errors without a remedy, and a
// reference that does not match the program.
#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <string>

extern "C" {
#include "config/config_json.h"
#include "config/config_object.h"
#include "control/admin_api.h"
}

#include "../scenario/gossip_world.h"

namespace {

struct State {
	State()
	{
		state = config_state_create();
	}
	~State()
	{
		config_state_destroy(state);
	}

	config_result_t
	Apply(const std::vector<uint8_t> &bytes)
	{
		config_result_t result;

		EXPECT_EQ(config_state_apply(state, ++index, bytes.data(),
			      bytes.size(), &result),
		    TM_OK);
		return result;
	}

	// Reads a file of objects and applies it as one change.
	config_result_t
	ApplyFile(const std::string &id, const char *json)
	{
		json_check_t *check = json_check_create();
		Feed__Change change = FEED__CHANGE__INIT;
		Feed__Entry entry = FEED__ENTRY__INIT;
		json_node_t root;

		json_check_load_text(check, "test", json, strlen(json), &root);
		EXPECT_EQ(config_json_read_file(&root, &change), TM_OK);
		EXPECT_EQ(json_check_print(check, stderr), 0);
		change.change_id = (char *)id.c_str();
		change.actor = (char *)"alice";
		entry.change = &change;
		auto bytes = EntryBuilder::Encode(entry);
		config_change_free_items(&change);
		json_check_destroy(check);
		return Apply(bytes);
	}

	config_result_t
	Delete(const std::string &id, config_kind_t kind, const char *name)
	{
		Feed__Object object = FEED__OBJECT__INIT;

		object.kind = kind;
		object.name = (char *)name;
		return Apply(
		    EntryBuilder::Change(id, object, CONFIG_OP_DELETE));
	}

	std::vector<uint8_t>
	Snapshot()
	{
		size_t len;
		uint8_t *bytes = config_snapshot_encode(state, &len);
		std::vector<uint8_t> out(bytes, bytes + len);

		free(bytes);
		return out;
	}

	std::string
	Route(const char *host, const char *path)
	{
		const config_route_t *route = config_state_find_route(
		    state, host, strlen(host), path, strlen(path));
		return route != nullptr ? route->object.name : "";
	}

	uint64_t index = 0;
	config_state_t *state;
};

const char kObjects[] =
    R"({"profiles": [{"name": "p", "ejection": "eager", "floor_percent": 60}],
 "workspaces": [{"name": "w", "rate_per_s": 10, "burst": 5}],
 "services": [{"name": "s", "profile": "p"}],
 "routes": [
  {"name": "any", "path_prefix": "/", "service": "s", "workspaces": "all"},
  {"name": "a", "path_prefix": "/a", "service": "s", "workspaces": ["w"]},
  {"name": "ab", "path_prefix": "/a/b/", "service": "s", "workspaces": "all"},
  {"name": "host", "host": "x.example", "path_prefix": "/a", "service": "s",
   "workspaces": "all"}]})";

TEST(Config, RouteOfHostAndLongestPrefixWins)
{
	State state;

	EXPECT_EQ(state.ApplyFile("1", kObjects).err, TM_OK);
	EXPECT_EQ(state.Route("", "/"), "any");
	EXPECT_EQ(state.Route("", "/a"), "a");
	EXPECT_EQ(state.Route("", "/a/"), "a");
	EXPECT_EQ(state.Route("", "/ab"), "any");
	EXPECT_EQ(state.Route("", "/a/b"), "ab");
	EXPECT_EQ(state.Route("", "/a/b/c/d"), "ab");
	EXPECT_EQ(state.Route("", "/a/bc"), "a");
	EXPECT_EQ(state.Route("X.Example", "/a/b"), "host");
	EXPECT_EQ(state.Route("x.example", "/q"), "any");
	std::string deep = "/a/b/" + std::string(4000, 'x');
	EXPECT_EQ(state.Route("", deep.c_str()), "ab");
	const config_route_t *route =
	    config_state_find_route(state.state, nullptr, 0, "/a", 2);
	EXPECT_TRUE(config_route_is_allowed(route, "w"));
	EXPECT_FALSE(config_route_is_allowed(route, "other"));
}

TEST(Config, EntryAtOrBelowTheIndexHasNoEffect)
{
	State state;
	auto bytes = EntryBuilder::Workspace("1", "w", 10);

	EXPECT_EQ(config_state_apply(
		      state.state, 7, bytes.data(), bytes.size(), nullptr),
	    TM_OK);
	auto other = EntryBuilder::Workspace("2", "w", 20);
	for (uint64_t index : { 7, 6, 0 })
		EXPECT_EQ(config_state_apply(state.state, index, other.data(),
			      other.size(), nullptr),
		    TM_ESTALE);
	EXPECT_EQ(
	    config_state_find_workspace(state.state, "w")->rate_per_s, 10u);
}

TEST(Config, ChangeIsAppliedOnceAndAnsweredTheSame)
{
	State state;
	Feed__Object object = FEED__OBJECT__INIT;

	object.kind = CONFIG_KIND_WORKSPACE;
	object.name = (char *)"w";
	object.rate_per_s = 10;
	object.burst = 1;
	auto first = EntryBuilder::Change("id", object, CONFIG_OP_PUT, 0, 11);
	config_result_t result = state.Apply(first);
	EXPECT_EQ(result.err, TM_OK);
	state.Apply(EntryBuilder::Workspace("other", "w", 30));
	config_result_t repeat = state.Apply(first);
	EXPECT_EQ(repeat.err, TM_OK);
	EXPECT_EQ(repeat.version, result.version);
	EXPECT_EQ(repeat.is_repeat, 1);
	EXPECT_EQ(
	    config_state_find_workspace(state.state, "w")->rate_per_s, 30u);
	/* Another request under the same id is an error, not a success. */
	EXPECT_EQ(
	    state
		.Apply(EntryBuilder::Change("id", object, CONFIG_OP_PUT, 0, 12))
		.err,
	    TM_EEXIST);
}

TEST(Config, ChangeIdsAreBoundedAndKept)
{
	State state;
	config_result_t result;

	for (int i = 0; i <= CONFIG_CHANGES_KEPT; i++)
		state.Apply(
		    EntryBuilder::Workspace("c" + std::to_string(i), "w", 10));
	EXPECT_EQ(
	    config_state_find_change(state.state, "c0", &result), TM_ENOENT);
	EXPECT_EQ(config_state_find_change(state.state, "c1", &result), TM_OK);
	EXPECT_EQ(result.version, 2u);
	State copy;
	auto bytes = state.Snapshot();
	EXPECT_EQ(
	    config_snapshot_install(copy.state, bytes.data(), bytes.size()),
	    TM_OK);
	EXPECT_EQ(config_state_find_change(copy.state, "c1", &result), TM_OK);
}

TEST(Config, VersionMismatchReportsTheCurrentVersion)
{
	State state;
	Feed__Object object = FEED__OBJECT__INIT;

	object.kind = CONFIG_KIND_WORKSPACE;
	object.name = (char *)"w";
	object.rate_per_s = 10;
	object.burst = 1;
	EXPECT_EQ(
	    state.Apply(EntryBuilder::Change("1", object, CONFIG_OP_PUT, 0))
		.err,
	    TM_OK);
	config_result_t result =
	    state.Apply(EntryBuilder::Change("2", object, CONFIG_OP_PUT, 0));
	EXPECT_EQ(result.err, TM_EVERSION);
	EXPECT_EQ(result.version, 1u);
	EXPECT_EQ(
	    state.Apply(EntryBuilder::Change("3", object, CONFIG_OP_PUT, 1))
		.err,
	    TM_OK);
}

TEST(Config, ReferencesAreKept)
{
	State state;

	EXPECT_EQ(state.ApplyFile("1", kObjects).err, TM_OK);
	EXPECT_EQ(state.Delete("2", CONFIG_KIND_PROFILE, "p").err, TM_EINUSE);
	EXPECT_EQ(state.Delete("3", CONFIG_KIND_SERVICE, "s").err, TM_EINUSE);
	EXPECT_EQ(state.Delete("4", CONFIG_KIND_WORKSPACE, "w").err, TM_EINUSE);
	EXPECT_EQ(state.Delete("5", CONFIG_KIND_ROUTE, "a").err, TM_OK);
	EXPECT_EQ(state.Delete("6", CONFIG_KIND_WORKSPACE, "w").err, TM_OK);
	EXPECT_EQ(state.Delete("7", CONFIG_KIND_WORKSPACE, "w").err, TM_ENOENT);
	EXPECT_EQ(state
		      .ApplyFile("8",
			  R"({"services": [{"name": "t", "profile": "none"}]})")
		      .err,
	    TM_EREFERENCE);
}

TEST(Config, RefusedFileChangesNothing)
{
	State state;

	EXPECT_EQ(state.ApplyFile("1", kObjects).err, TM_OK);
	auto before = state.Snapshot();
	config_result_t result = state.ApplyFile("2",
	    R"({"profiles": [{"name": "p", "floor_percent": 1}, {"name": "q"}],
	 "routes": [{"name": "clash", "path_prefix": "/a/b", "service": "s",
	  "workspaces": "all"}]})");
	EXPECT_EQ(result.err, TM_EEXIST);
	EXPECT_EQ(result.item, 2u);
	EXPECT_EQ(
	    config_state_find_profile(state.state, "p")->floor_percent, 60u);
	EXPECT_EQ(config_state_find_profile(state.state, "q"), nullptr);
	EXPECT_EQ(state.Route("", "/a/b"), "ab");
}

TEST(Config, WithdrawnKeyStaysWithdrawn)
{
	State state;

	state.Apply(EntryBuilder::Workspace("1", "w", 10));
	EXPECT_EQ(state.Apply(EntryBuilder::Key("2", "k", false)).err, TM_OK);
	EXPECT_EQ(state.Apply(EntryBuilder::Key("3", "k", true)).err, TM_OK);
	EXPECT_EQ(
	    state.Apply(EntryBuilder::Key("4", "k", false)).err, TM_EINVAL);
	EXPECT_EQ(config_state_find_key(state.state, "k", 1)->withdrawn, 1);
}

TEST(Config, KeyComparesDigests)
{
	config_key_t key = {};
	const uint8_t abc[] = { 0xba, 0x78, 0x16, 0xbf, 0x8f, 0x01, 0xcf, 0xea,
		0x41, 0x41, 0x40, 0xde, 0x5d, 0xae, 0x22, 0x23, 0xb0, 0x03,
		0x61, 0xa3, 0x96, 0x17, 0x7a, 0x9c, 0xb4, 0x10, 0xff, 0x61,
		0xf2, 0x00, 0x15, 0xad };

	memcpy(key.secret_sha256, abc, sizeof(abc));
	EXPECT_EQ(config_key_matches(&key, "abc", 3), 1);
	EXPECT_EQ(config_key_matches(&key, "abd", 3), 0);
	EXPECT_EQ(config_key_matches(&key, "abc", 2), 0);
}

TEST(Config, OlderIncarnationDoesNotReplaceANewerOne)
{
	State state;

	EXPECT_EQ(state.Apply(EntryBuilder::Join("n", 5, "dc")).err, TM_OK);
	EXPECT_EQ(state.Apply(EntryBuilder::Join("n", 4, "dc")).err, TM_ESTALE);
	EXPECT_EQ(config_state_find_node(state.state, node_id_from_name("n"))
		      ->incarnation,
	    5u);
	EXPECT_EQ(config_state_get_directory_index(state.state), 1u);
}

TEST(Config, SnapshotIsCanonicalAndNeverOlder)
{
	State a;
	State b;

	a.ApplyFile("1", kObjects);
	a.Apply(EntryBuilder::Join("n1", 1, "dc"));
	a.Apply(EntryBuilder::Join("n2", 1, "dc"));
	auto bytes = a.Snapshot();
	EXPECT_EQ(config_snapshot_install(b.state, bytes.data(), bytes.size()),
	    TM_OK);
	EXPECT_EQ(b.Snapshot(), bytes);
	EXPECT_EQ(b.Route("", "/a/b"), "ab");
	EXPECT_EQ(config_snapshot_install(b.state, bytes.data(), bytes.size()),
	    TM_ESTALE);
	State c;
	for (size_t i = 0; i < bytes.size(); i += 7) {
		auto damaged = bytes;
		damaged[i] ^= 0x20;
		EXPECT_NE(config_snapshot_install(
			      c.state, damaged.data(), damaged.size()),
		    TM_OK);
	}
	EXPECT_NE(
	    config_snapshot_install(c.state, bytes.data(), bytes.size() - 1),
	    TM_OK);
	EXPECT_EQ(config_state_get_index(c.state), 0u);
}

// Equal entries give equal bytes, also after refused and malformed ones.
TEST(Config, ReplicasStayEqualOnRandomEntries)
{
	const uint64_t seed = 31337;
	rng_t rng;
	State a;
	State b;

	printf("seed %llu\n", (unsigned long long)seed);
	rng_init(&rng, seed);
	for (int i = 0; i < 3000; i++) {
		std::string id = "c" + std::to_string(rng_below(&rng, 2500));
		std::string name = "w" + std::to_string(rng_below(&rng, 50));
		auto bytes = EntryBuilder::Workspace(
		    id, name, (uint32_t)rng_below(&rng, 3));
		if (rng_below(&rng, 3) == 0)
			bytes = EntryBuilder::Key(
			    id, name, rng_below(&rng, 2) == 0);
		if (rng_below(&rng, 10) == 0 && !bytes.empty())
			bytes[rng_below(&rng, bytes.size())] ^=
			    (uint8_t)rng_next(&rng);
		a.Apply(bytes);
		b.Apply(bytes);
		if (i == 1500) {
			auto snapshot = a.Snapshot();
			config_state_destroy(b.state);
			b.state = config_state_create();
			EXPECT_EQ(config_snapshot_install(b.state,
				      snapshot.data(), snapshot.size()),
			    TM_OK);
		}
	}
	EXPECT_EQ(a.Snapshot(), b.Snapshot());
}

TEST(Config, JsonErrorsAreReportedAllAtOnce)
{
	const char json[] = R"({"profiles": [{"name": "p", "colour": 1,
	 "ejection": "never", "floor_percent": 101}],
	 "routes": [{"name": "r", "path_prefix": "a", "service": "-",
	  "workspaces": "some"}],
	 "keys": [{"id": "k", "workspace": "w", "secret_sha256": "00"}]})";
	json_check_t *check = json_check_create();
	Feed__Change change = FEED__CHANGE__INIT;
	std::set<std::string> paths;
	json_node_t root;

	json_check_load_text(check, "test", json, strlen(json), &root);
	EXPECT_EQ(config_json_read_file(&root, &change), TM_OK);
	for (int i = 0; json_check_get_problem(check, i) != nullptr; i++) {
		const json_problem_t *problem =
		    json_check_get_problem(check, i);
		paths.insert(problem->path);
		EXPECT_STRNE(problem->allowed, "");
		EXPECT_STRNE(problem->remedy, "");
	}
	EXPECT_EQ(paths,
	    (std::set<std::string>{ "profiles[0].colour",
		"profiles[0].ejection", "profiles[0].floor_percent",
		"routes[0].path_prefix", "routes[0].service",
		"routes[0].workspaces", "keys[0].secret_sha256" }));
	config_change_free_items(&change);
	json_check_destroy(check);
}

TEST(Config, ObjectsSurviveJsonRoundTrip)
{
	State state;
	const config_object_t *objects[16];

	state.ApplyFile("1", kObjects);
	state.Apply(EntryBuilder::Key("2", "k", true));
	for (int kind = 1; kind < CONFIG_OBJECT_KINDS; kind++) {
		size_t n = config_state_list(
		    state.state, (config_kind_t)kind, nullptr, objects, 16);
		for (size_t i = 0; i < n; i++) {
			json_t *json = config_json_write_object(objects[i]);
			json_check_t *check = json_check_create();
			json_node_t root;
			json_check_use_value(check, "test", json, &root);
			Feed__Object *read = config_json_read_object(
			    &root, (config_kind_t)kind, nullptr);
			ASSERT_NE(read, nullptr);
			EXPECT_EQ(json_check_print(check, stderr), 0);
			EXPECT_STREQ(read->name, objects[i]->name);
			feed__object__free_unpacked(read, nullptr);
			json_check_destroy(check);
			json_decref(json);
		}
	}
}

// The reference names each route in a heading such as: ### `GET /v1/status`
TEST(AdminApi, ReferenceNamesTheRoutesOfTheProgram)
{
	std::ifstream file("docs/admin-api.md");
	std::set<std::string> documented;
	std::set<std::string> program;
	std::string line;

	ASSERT_TRUE(file.good());
	while (std::getline(file, line)) {
		if (line.rfind("### `", 0) == 0)
			documented.insert(line.substr(5, line.size() - 6));
	}
	for (size_t i = 0; i < admin_api_get_route_count(); i++)
		program.insert(admin_api_get_route(i));
	EXPECT_EQ(documented, program);
}

} // namespace
