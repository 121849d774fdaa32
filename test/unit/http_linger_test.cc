// Failures guarded against: a listener closes a connection while bytes of its
// caller are unread, and the reset drops the response; callers that never close
// hold descriptors; a process ends before responses have arrived.
#include <cstdlib>
#include <cstring>
#include <string>
#include <unistd.h>

#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>

#include "http_listener.h"

extern "C" {
#include "http/http_linger.h"
}

namespace {

constexpr size_t kLargeBytes = 400000;

// Writes a certificate of its own and its key to new files.
void
MakeTlsFiles(http_tls_files_t *files)
{
	EVP_PKEY *key = EVP_RSA_gen(2048);
	X509 *certificate = X509_new();
	FILE *out;

	X509_gmtime_adj(X509_getm_notBefore(certificate), 0);
	X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
	X509_set_pubkey(certificate, key);
	X509_sign(certificate, key, EVP_sha256());
	strcpy(files->certificate_file, "/tmp/http_linger_XXXXXX");
	out = fdopen(mkstemp(files->certificate_file), "w");
	PEM_write_X509(out, certificate);
	fclose(out);
	strcpy(files->key_file, "/tmp/http_linger_XXXXXX");
	out = fdopen(mkstemp(files->key_file), "w");
	PEM_write_PrivateKey(out, key, nullptr, nullptr, 0, nullptr, nullptr);
	fclose(out);
	X509_free(certificate);
	EVP_PKEY_free(key);
}

using HttpLinger = HttpListener;

} // namespace

// The answer of a request was cut off by the request behind it on its connection.
TEST_F(HttpLinger, AnswerIsWholeThoughAnotherRequestIsUnread)
{
	Listen(10);
	Caller caller(addr_);

	StartRequest(&caller, "/1");
	caller.Send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
	ASSERT_TRUE(RunUntil(&caller, [&] { return (caller.IsSent()); }));
	Answer(kLargeBytes);
	RunUntil(
	    &caller, [&] { return (caller.is_ended_ || caller.is_reset_); });
	EXPECT_FALSE(caller.is_reset_);
	EXPECT_EQ(kLargeBytes, caller.BodyBytes());
	EXPECT_EQ(nullptr, request_);
}

// The same over TLS, whose end has to arrive after the answer.
TEST_F(HttpLinger, AnswerOverTlsIsWhole)
{
	SSL_CTX *tls = SSL_CTX_new(TLS_client_method());
	http_tls_files_t files = {};

	MakeTlsFiles(&files);
	Listen(10, &files);
	{
		Caller caller(addr_, tls);

		StartRequest(&caller, "/1");
		caller.Send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
		ASSERT_TRUE(
		    RunUntil(&caller, [&] { return (caller.IsSent()); }));
		Answer(kLargeBytes);
		RunUntil(&caller,
		    [&] { return (caller.is_ended_ || caller.is_reset_); });
		EXPECT_TRUE(caller.is_ended_);
		EXPECT_EQ(kLargeBytes, caller.BodyBytes());
	}
	unlink(files.certificate_file);
	unlink(files.key_file);
	SSL_CTX_free(tls);
}

// Bytes that arrive after the end of an answer reset it as well.
TEST_F(HttpLinger, AnswerIsWholeThoughARequestFollowsIt)
{
	Listen(10);
	Caller caller(addr_);

	StartRequest(&caller, "/1");
	caller.reads_ = false;
	Answer(kLargeBytes);
	ASSERT_TRUE(RunUntil(
	    &caller, [&] { return (http_server_get_active(server_) == 0); }));
	caller.Send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
	ASSERT_TRUE(RunUntil(&caller, [&] { return (caller.IsSent()); }));
	caller.reads_ = true;
	RunUntil(
	    &caller, [&] { return (caller.is_ended_ || caller.is_reset_); });
	EXPECT_FALSE(caller.is_reset_);
	EXPECT_EQ(kLargeBytes, caller.BodyBytes());
}

// The reason of a refusal was lost, as the body that is too large was unread.
TEST_F(HttpLinger, RefusalOfALargeBodyArrives)
{
	Listen(10);
	Caller caller(addr_);

	caller.Send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 900000"
		    "\r\n\r\n" +
	    std::string(900000, 'x'));
	RunUntil(&caller, [&] {
		return (
		    caller.is_reset_ || (caller.is_ended_ && caller.IsSent()));
	});
	EXPECT_FALSE(caller.is_reset_);
	EXPECT_TRUE(caller.HasStatus(413));
}

// The same for a request that cannot be read, and what follows it.
TEST_F(HttpLinger, RefusalOfABadRequestArrives)
{
	Listen(10);
	Caller caller(addr_);

	caller.Send("GET\r\n\r\n");
	caller.Send(std::string(900000, 'x'));
	RunUntil(&caller, [&] {
		return (
		    caller.is_reset_ || (caller.is_ended_ && caller.IsSent()));
	});
	EXPECT_FALSE(caller.is_reset_);
	EXPECT_TRUE(caller.HasStatus(400));
}

// Callers that do not close would use up the descriptors.
TEST_F(HttpLinger, WaitForACallerIsBounded)
{
	Listen(10);
	Caller caller(addr_);

	StartRequest(&caller, "/1");
	Answer(10);
	ASSERT_TRUE(RunUntil(&caller, [&] { return (caller.is_ended_); }));
	EXPECT_EQ(1u, http_server_get_connections(server_));
	EXPECT_TRUE(RunUntil(
	    &caller,
	    [&] { return (http_server_get_connections(server_) == 0); },
	    HTTP_LINGER_MAX_MS + kPatienceMs));
}

// A connection that is closed must not keep a new caller out.
TEST_F(HttpLinger, ClosedConnectionsMakeRoom)
{
	Listen(1);
	Caller first(addr_);

	StartRequest(&first, "/1");
	Answer(10);
	ASSERT_TRUE(RunUntil(&first, [&] { return (first.is_ended_); }));
	Caller second(addr_);
	StartRequest(&second, "/2");
	Answer(10);
	ASSERT_TRUE(RunUntil(&second, [&] { return (second.is_ended_); }));
	EXPECT_TRUE(second.HasStatus(200));
	EXPECT_EQ(0u, http_server_get_refused(server_));
}

// A process that ends when all is written cuts off what has not arrived.
TEST_F(HttpLinger, IsDeliveredOnceTheCallerHasClosed)
{
	Listen(10);
	Caller *caller = new Caller(addr_);
	Caller other(addr_);

	StartRequest(caller, "/1");
	EXPECT_FALSE(http_server_is_delivered(server_));
	Answer(10);
	ASSERT_TRUE(RunUntil(caller, [&] { return (caller->is_ended_); }));
	EXPECT_FALSE(http_server_is_delivered(server_));
	delete caller;
	EXPECT_TRUE(RunUntil(
	    &other, [&] { return (http_server_is_delivered(server_) != 0); }));
}

// The same on a connection that is kept, whose caller reads late.
TEST_F(HttpLinger, IsDeliveredOnceAKeptConnectionIsRead)
{
	Listen(10);
	Caller caller(addr_);

	StartRequest(&caller, "/1");
	caller.reads_ = false;
	Answer(kLargeBytes, true);
	ASSERT_TRUE(RunUntil(
	    &caller, [&] { return (http_server_get_active(server_) == 0); }));
	EXPECT_FALSE(http_server_is_delivered(server_));
	caller.reads_ = true;
	EXPECT_TRUE(RunUntil(
	    &caller, [&] { return (http_server_is_delivered(server_) != 0); }));
	EXPECT_EQ(kLargeBytes, caller.BodyBytes());
}
