// Failures guarded against: a check that stops at the first error, an error
// without field path or remedy, an unknown or repeated field that passes, a
// crash on a value of another kind.
#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <string>

extern "C" {
#include "base/error.h"
#include "settings/json_check.h"
}

namespace {

class JsonCheck : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		check = json_check_create();
	}
	void
	TearDown() override
	{
		json_check_destroy(check);
	}
	int
	load(const char *text)
	{
		return json_check_load_text(
		    check, "test.json", text, strlen(text), &root);
	}
	std::string
	print()
	{
		char *text = nullptr;
		size_t len = 0;
		FILE *out = open_memstream(&text, &len);
		json_check_print(check, out);
		fclose(out);
		std::string s(text, len);
		free(text);
		return s;
	}
	json_check_t *check = nullptr;
	json_node_t root;
};

const char *const colours[] = { "red", "blue", nullptr };

} // namespace

TEST_F(JsonCheck, ReadsEachKindOfField)
{
	sockaddr_in addr;
	uint8_t digest[JSON_SHA256_BYTES];
	json_node_t child;
	std::string text = R"({"node":"a-1","text":"hello","n":5,"r":0.5,)"
			   R"("flag":true,"colour":"blue",)"
			   R"("listen":"127.0.0.1:80","sha":")" +
	    std::string(64, 'a') +
	    R"(","list":[{"x":1},{"x":2}],)"
	    R"("peers":["10.0.0.1:1"],"gone":null})";

	ASSERT_EQ(load(text.c_str()), TM_OK);
	EXPECT_STREQ(json_need_name(&root, "node"), "a-1");
	EXPECT_STREQ(json_need_text(&root, "text", 1, 9), "hello");
	EXPECT_EQ(json_need_int(&root, "n", 0, 9, "ms"), 5);
	EXPECT_EQ(json_opt_int(&root, "absent", 0, 9, "ms", 7), 7);
	EXPECT_EQ(json_opt_int(&root, "gone", 0, 9, "ms", 7), 7);
	EXPECT_DOUBLE_EQ(json_need_real(&root, "r", 0, 1, ""), 0.5);
	EXPECT_EQ(json_need_bool(&root, "flag"), 1);
	EXPECT_EQ(json_need_enum(&root, "colour", colours), 1);
	EXPECT_EQ(json_need_address(&root, "listen", &addr), 1);
	EXPECT_EQ(ntohs(addr.sin_port), 80);
	EXPECT_EQ(json_need_sha256(&root, "sha", digest), 1);
	EXPECT_EQ(digest[31], 0xaa);
	ASSERT_EQ(json_need_list(&root, "list", 1, 2, "objects"), 2);
	ASSERT_EQ(json_list_get_object(&root, "list", 1, &child), 1);
	EXPECT_EQ(json_need_int(&child, "x", 0, 9, ""), 2);
	json_node_finish(&child);
	EXPECT_EQ(json_list_get_address(&root, "peers", 0, &addr), 1);
	json_node_finish(&root);
	EXPECT_EQ(json_check_get_error_count(check), 0) << print();
}

TEST_F(JsonCheck, CollectsAllErrorsWithPathAndRemedy)
{
	sockaddr_in addr;
	json_node_t child;

	ASSERT_EQ(load(R"({"n":11,"node":"-x","colour":"green",)"
		       R"("listen":"127.0.0.1","list":[{"x":"1"},3],)"
		       R"("speling":1})"),
	    TM_OK);
	EXPECT_EQ(json_need_int(&root, "n", 0, 10, "ms"), 0);
	json_need_name(&root, "node");
	json_need_enum(&root, "colour", colours);
	EXPECT_EQ(json_need_address(&root, "listen", &addr), 0);
	EXPECT_STREQ(json_need_text(&root, "absent", 1, 9), "");
	ASSERT_EQ(json_need_list(&root, "list", 0, 9, "objects"), 2);
	EXPECT_EQ(json_list_get_object(&root, "list", 0, &child), 1);
	json_need_int(&child, "x", 0, 9, "");
	EXPECT_EQ(json_list_get_object(&root, "list", 1, &child), 0);
	/* A field of a missing object is not reported a second time. */
	json_need_int(&child, "x", 0, 9, "");
	json_node_finish(&child);
	json_node_finish(&root);
	EXPECT_EQ(json_check_get_error_count(check), 8) << print();
	EXPECT_NE(print().find("test.json: n: found 11; allowed: an integer "
			       "from 0 to 10 ms; remedy: "),
	    std::string::npos)
	    << print();
	EXPECT_NE(print().find("list[0].x: found \"1\""), std::string::npos);
	EXPECT_NE(print().find("list[1]: found 3"), std::string::npos);
	EXPECT_NE(
	    print().find("speling: found an unknown field"), std::string::npos);
	EXPECT_NE(print().find("absent: found nothing"), std::string::npos);
}

TEST_F(JsonCheck, RejectsMalformedTextWithItsPlace)
{
	for (const char *text : { "", "{", "[]", "3", "{\"a\":1,\"a\":2}",
		 "{\"a\":1e999}", "nul" }) {
		int before = json_check_get_error_count(check);

		EXPECT_EQ(load(text), TM_EFORMAT) << text;
		EXPECT_EQ(json_check_get_error_count(check), before + 1);
		EXPECT_EQ(root.value, nullptr);
		json_need_text(&root, "a", 0, 9);
		json_node_finish(&root);
		EXPECT_EQ(json_check_get_error_count(check), before + 1);
	}
	EXPECT_EQ(json_check_load_file(check, "/nonexistent/x", &root), TM_EIO);
	EXPECT_NE(print().find("/nonexistent/x: found No such file"),
	    std::string::npos);
}

TEST_F(JsonCheck, KeepsCountingWhenTheListOfErrorsIsFull)
{
	std::string text = "{";

	for (int i = 0; i < JSON_ERRORS_MAX + 50; i++)
		text += (i > 0 ? ",\"f" : "\"f") + std::to_string(i) + "\":1";
	ASSERT_EQ(load((text + "}").c_str()), TM_OK);
	json_node_finish(&root);
	EXPECT_EQ(json_check_get_error_count(check), JSON_ERRORS_MAX + 50);
	EXPECT_NE(print().find("and 50 more errors"), std::string::npos);
}

TEST(ParseAddress, AcceptsOnlyAddressWithPort)
{
	sockaddr_in addr;

	EXPECT_EQ(json_parse_address("127.0.0.1:65535", 0, &addr), TM_OK);
	EXPECT_EQ(json_parse_address("127.0.0.1:0", 1, &addr), TM_OK);
	for (const char *text : { "", ":", "127.0.0.1", "127.0.0.1:",
		 "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:8x", "host:80",
		 "1.2.3:4", "127.0.0.1:99999999999999999999", "127.0.0.1:+1" })
		EXPECT_EQ(json_parse_address(text, 0, &addr), TM_EFORMAT)
		    << text;
}
