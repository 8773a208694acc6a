/* The API server over HTTP/2 in clear text and over TLS. */

#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>

#include <cstdio>
#include <cstdlib>

#include "loop_fixture.h"

/* ---- HTTP/2 in clear text ---------------------------------------------- */

/* An HTTP/2 frame with a payload of less than 128 bytes. */
static std::string
Frame(char type, char flags, char stream, const std::string &payload)
{
	std::string f = {
	    0, 0, (char)payload.size(), type, flags, 0, 0, 0, stream};

	return f + payload;
}

/* GET / with authority "h", encoded with HPACK's static table. */
static std::string
Http2Get(char stream)
{
	return Frame(1, 5, stream, std::string("\x82\x86\x84\x41\x01h", 6));
}

/* The connection preface and an empty SETTINGS frame. */
static const std::string http2_preface =
    "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + Frame(4, 0, 0, "");

/* Streams of one connection are answered and reset independently. */
TEST_F(HttpTest, Http2StreamsAreIndependent)
{
	RawSocket caller;
	std::string received;

	Serve();
	handler = [](const node_request *) {};
	caller.Connect(http_server_get_port(server));
	caller.Write(http2_preface + Http2Get(1) + Http2Get(3));
	ASSERT_TRUE(Until([&] { return requests.size() == 2; }));
	Reply(requests[1], 200, "second");
	ASSERT_TRUE(Until([&] {
		received += caller.Poll();
		return received.find(Frame(0, 1, 3, "second")) !=
		    std::string::npos;
	}));
	caller.Write(Frame(3, 0, 1, std::string("\0\0\0\x08", 4))); /* reset */
	ASSERT_TRUE(Until([&] { return disconnected.size() == 1; }));
	EXPECT_EQ(disconnected[0], requests[0]);
}

TEST_F(HttpTest, Http2AbortResetsOnlyItsStream)
{
	RawSocket caller;
	std::string received;

	Serve();
	handler = [&](const node_request *r) {
		Reply(r->request, 200, "part", true);
	};
	caller.Connect(http_server_get_port(server));
	caller.Write(http2_preface + Http2Get(1) + Http2Get(3));
	ASSERT_TRUE(Until([&] {
		received += caller.Poll();
		return received.find(Frame(0, 0, 1, "part")) !=
		    std::string::npos &&
		    received.find(Frame(0, 0, 3, "part")) != std::string::npos;
	}));
	http_server_end(server, requests[0], true);
	http_server_end(server, requests[1], false);
	ASSERT_TRUE(Until([&] {
		received += caller.Poll();
		return received.find(Frame(3, 0, 1, "").substr(3)) !=
		    std::string::npos &&
		    received.find(Frame(0, 1, 3, "")) != std::string::npos;
	}));
	EXPECT_TRUE(disconnected.empty());
}

/* Guards against a shutdown that drops the running streams of HTTP/2. */
TEST_F(HttpTest, Http2DrainCompletesRunningStreams)
{
	RawSocket caller;
	std::string received;
	bool closed = false;

	Serve();
	handler = [](const node_request *) {};
	caller.Connect(http_server_get_port(server));
	caller.Write(http2_preface + Http2Get(1) + Http2Get(3));
	ASSERT_TRUE(Until([&] { return requests.size() == 2; }));
	Reply(requests[0], 200, "first");
	http_server *draining = server;
	http_server_destroy(server, set_true, &server_done);
	server = nullptr;
	uint64_t later = uv_hrtime() + 50000000;
	ASSERT_TRUE(Until([&] { return uv_hrtime() > later; }));
	ASSERT_TRUE(disconnected.empty());
	node_reply r = {};
	r.request = requests[1];
	r.status = 200;
	r.body = {"second", 6};
	http_server_reply(draining, &r);
	ASSERT_TRUE(Until([&] {
		received += caller.Poll(&closed);
		return closed;
	}));
	EXPECT_NE(received.find(Frame(0, 1, 3, "second")), std::string::npos);
	ASSERT_TRUE(Until([&] { return server_done; }));
	server_done = false; /* TearDown() expects it without a server */
}

/* ---- TLS --------------------------------------------------------------- */

class TlsTest : public HttpTest {
      protected:
	char file[32] = "/tmp/http_test_XXXXXX";
	SSL_CTX *context = nullptr;
	SSL *tls = nullptr;

	/* A self-signed certificate and its key in one file. */
	void
	WriteCertificate()
	{
		EVP_PKEY *key = EVP_EC_gen("P-256");
		X509 *cert = X509_new();
		FILE *f = fdopen(mkstemp(file), "w");

		ASSERT_NE(f, nullptr);
		ASN1_INTEGER_set(X509_get_serialNumber(cert), 1);
		X509_gmtime_adj(X509_getm_notBefore(cert), 0);
		X509_gmtime_adj(X509_getm_notAfter(cert), 3600);
		X509_set_pubkey(cert, key);
		ASSERT_NE(X509_sign(cert, key, EVP_sha256()), 0);
		PEM_write_X509(f, cert);
		PEM_write_PrivateKey(
		    f, key, nullptr, nullptr, 0, nullptr, nullptr);
		fclose(f);
		X509_free(cert);
		EVP_PKEY_free(key);
		options.tls_certificate = options.tls_key = file;
	}

	void
	TearDown() override
	{
		SSL_free(tls);
		SSL_CTX_free(context);
		unlink(file);
		HttpTest::TearDown();
	}
};

TEST_F(TlsTest, ServesOverTls)
{
	RawSocket caller, plain;
	std::string request_text = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
	std::string received;
	char b[1024];
	bool closed = false;
	int n;

	WriteCertificate();
	Serve();
	caller.Connect(http_server_get_port(server));
	fcntl(caller.fd, F_SETFL, O_NONBLOCK);
	context = SSL_CTX_new(TLS_client_method());
	tls = SSL_new(context);
	SSL_set_fd(tls, caller.fd);
	ASSERT_TRUE(Until([&] { return SSL_connect(tls) == 1; }));
	ASSERT_EQ(SSL_write(tls, request_text.data(), (int)request_text.size()),
	    (int)request_text.size());
	ASSERT_TRUE(Until([&] {
		while ((n = SSL_read(tls, b, sizeof(b))) > 0)
			received.append(b, n);
		return received.find("\r\n\r\nok") != std::string::npos;
	}));
	EXPECT_EQ(received.substr(0, 15), "HTTP/1.1 200 OK");

	/* A request without TLS is not handled. */
	plain.Connect(http_server_get_port(server));
	plain.Write(request_text);
	ASSERT_TRUE(Until([&] {
		(void)plain.Poll(&closed);
		return closed;
	}));
	EXPECT_EQ(requests.size(), 1u);
}

TEST_F(TlsTest, DisconnectOverTlsIsReported)
{
	RawSocket caller;
	std::string request_text = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

	WriteCertificate();
	Serve();
	handler = [](const node_request *) {};
	caller.Connect(http_server_get_port(server));
	fcntl(caller.fd, F_SETFL, O_NONBLOCK);
	context = SSL_CTX_new(TLS_client_method());
	tls = SSL_new(context);
	SSL_set_fd(tls, caller.fd);
	ASSERT_TRUE(Until([&] { return SSL_connect(tls) == 1; }));
	SSL_write(tls, request_text.data(), (int)request_text.size());
	ASSERT_TRUE(Until([&] { return requests.size() == 1; }));
	caller.Close();
	ASSERT_TRUE(Until([&] { return disconnected.size() == 1; }));
}
