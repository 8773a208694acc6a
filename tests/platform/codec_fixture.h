#ifndef MP_TESTS_PLATFORM_CODEC_FIXTURE_H
#define MP_TESTS_PLATFORM_CODEC_FIXTURE_H

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "platform/platform.h"

/* Names and values of request headers. */
typedef std::vector<std::pair<std::string, std::string>> Headers;

/* Fixture of the codec tests; owns the memory of decoded messages. */
class CodecTest : public ::testing::Test {
      protected:
	node_effects *memory = node_effects_create();
	mp_error err = {};
	std::vector<node_header> request_headers;

	void
	TearDown() override
	{
		node_effects_destroy(memory);
	}

	/* The result is valid until the next call or the test's end. */
	node_request
	MakeRequest(node_listener listener, const char *method,
	    const char *path, const std::string &body = "",
	    const Headers &headers = {})
	{
		node_request r = {};

		r.listener = listener;
		r.method = method;
		r.path = path;
		r.body = {node_effects_copy(memory, body.data(), body.size()),
		    body.size()};
		request_headers.clear();
		for (auto &h : headers)
			request_headers.push_back(
			    {node_effects_printf(memory, "%s", h.first.c_str()),
				node_effects_printf(
				    memory, "%s", h.second.c_str())});
		r.headers = request_headers.data();
		r.nheaders = request_headers.size();
		return r;
	}

	int
	ReadCall(gw_call *out, const node_request &r)
	{
		return platform_codec.read_call(out, &r, memory, &err);
	}

	static std::string
	ToString(node_bytes b)
	{
		return std::string(b.data, b.len);
	}
};

/* Returns the value of the first header with this name, or "(none)". */
inline std::string
FindHeader(const node_header *headers, size_t n, const std::string &name)
{
	for (size_t i = 0; i < n; i++)
		if (name == headers[i].name)
			return headers[i].value;
	return "(none)";
}

#endif
