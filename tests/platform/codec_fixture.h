#ifndef MP_TESTS_PLATFORM_CODEC_FIXTURE_H
#define MP_TESTS_PLATFORM_CODEC_FIXTURE_H

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "platform/platform.h"

typedef std::vector<std::pair<std::string, std::string>> Headers;

/* A codec with memory for what it decodes. */
class CodecTest : public ::testing::Test {
      protected:
	node_effects *memory = node_effects_create();
	mp_error err = {};
	std::vector<node_header> kept;

	void
	TearDown() override
	{
		node_effects_destroy(memory);
	}

	node_request
	Request(node_listener listener, const char *method, const char *path,
	    const std::string &body = "", const Headers &headers = {})
	{
		node_request r = {};

		r.listener = listener;
		r.method = method;
		r.path = path;
		r.body = {node_effects_copy(memory, body.data(), body.size()),
		    body.size()};
		kept.clear();
		for (auto &h : headers)
			kept.push_back(
			    {node_effects_printf(memory, "%s", h.first.c_str()),
				node_effects_printf(
				    memory, "%s", h.second.c_str())});
		r.headers = kept.data();
		r.nheaders = kept.size();
		return r;
	}

	int
	Call(gw_call *out, const node_request &r)
	{
		return platform_codec.read_call(out, &r, memory, &err);
	}

	static std::string
	Text(node_bytes b)
	{
		return std::string(b.data, b.len);
	}
};

inline std::string
Find(const node_header *headers, size_t n, const std::string &name)
{
	for (size_t i = 0; i < n; i++)
		if (name == headers[i].name)
			return headers[i].value;
	return "(none)";
}

#endif
