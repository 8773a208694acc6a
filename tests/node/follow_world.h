#ifndef MP_TESTS_NODE_FOLLOW_WORLD_H
#define MP_TESTS_NODE_FOLLOW_WORLD_H

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "mulberrypath/settings.h"
#include "platform/platform.h"

extern "C" {
#include "node/node_gate.h"
#include "node/node_internal.h"
}

/*
 * Instances without a log of their own on one virtual clock: the first ones are
 * listed as voters and are given entries by the test, the others follow them.
 * A filter sees each message and may lose, repeat, delay or change it.
 */
class FollowWorld {
      public:
	struct Sent {
		int from, to;
		std::string bytes;
		uint64_t delay_us;
		Wire__Envelope *envelope; /* of bytes as sent */
		bool
		is_push() const
		{
			return envelope->body_case == WIRE__ENVELOPE__BODY_PUSH;
		}
		bool
		is_part() const
		{
			return is_push() && envelope->push->snapshot_index != 0;
		}
	};

	FollowWorld(int sources, int followers, int memory_mb = 256)
	    : sources(sources)
	{
		for (int i = 0; i < sources + followers; i++)
			start(i, memory_mb);
	}

	~FollowWorld()
	{
		for (auto &m : members) {
			node_destroy(m->node);
			settings_destroy(m->settings);
		}
		node_effects_destroy(fx);
	}

	/* Applies an entry at a source; its content is a configuration. */
	void
	apply(int i, uint64_t version, size_t text_bytes)
	{
		std::string text = config(version, text_bytes);
		Wire__Command command = WIRE__COMMAND__INIT;
		Wire__GatewayConfig put = WIRE__GATEWAY_CONFIG__INIT;

		put.version = version;
		put.text = {text.size(), (uint8_t *)text.data()};
		command.instance = 99;
		command.body_case = WIRE__COMMAND__BODY_GATEWAY_CONFIG;
		command.gateway_config = &put;
		std::string packed(
		    wire__command__get_packed_size(&command), '\0');
		wire__command__pack(&command, (uint8_t *)packed.data());
		apply_bytes(i, packed);
	}

	void
	apply_bytes(int i, const std::string &bytes)
	{
		struct node *n = node(i);

		n->fx = fx;
		node_replica_apply(
		    n, n->applied + 1, 1, {bytes.data(), bytes.size()});
		node_follow_push_all(n);
		n->fx = nullptr;
		send_effects(i);
	}

	void
	run_for_ms(uint64_t ms)
	{
		(void)run_until([] { return false; }, ms);
	}

	bool
	run_until(const std::function<bool()> &done, uint64_t ms)
	{
		for (uint64_t end = now + ms * 1000; now < end; now += 1000) {
			if (done())
				return true;
			step_all();
		}
		return done();
	}

	bool
	has_caught_up(int follower, int source = 0)
	{
		return node(follower)->applied == node(source)->applied &&
		    text_of(follower) == text_of(source);
	}

	std::string
	text_of(int i)
	{
		struct buf text = {};
		std::string out;

		gw_text_join(node(i)->gate->config_text, &text);
		if (text.data != nullptr)
			out.assign(text.data, text.len);
		buf_free(&text);
		return out;
	}

	struct node *
	node(int i)
	{
		return members[(size_t)i]->node;
	}

	static std::string
	config(uint64_t version, size_t bytes)
	{
		std::string text = "{\"version\":" + std::to_string(version) +
		    ",\"routes\":[],\"services\":[],\"pad\":\"";
		uint64_t x = version;

		while (text.size() + 2 < bytes) {
			x = x * 6364136223846793005ULL + 1442695040888963407ULL;
			text += (char)('a' + (x >> 60));
		}
		return text + "\"}";
	}

	uint64_t now = 1000000;
	int sources;
	/* returns whether the message is sent; may change it */
	std::function<bool(Sent &)> filter;
	std::vector<size_t> push_bytes; /* sizes of the pushes sent */
	std::map<int, bool> dead;

      private:
	struct Member {
		struct settings *settings = nullptr;
		struct node *node = nullptr;
	};
	std::vector<std::unique_ptr<Member>> members;
	struct node_effects *fx = node_effects_create();
	std::multimap<uint64_t, std::function<void()>> arriving;

	static std::string
	ip(int i)
	{
		return "10.0.0." + std::to_string(i + 1);
	}

	void
	start(int i, int memory_mb)
	{
		auto m = std::make_unique<Member>();
		struct settings_problems problems = {};
		struct node_boot boot = {};
		struct mp_error err = {};
		std::string list, text;

		for (int k = 0; k < sources; k++)
			list += (k == 0 ? "\"" : ",\"") + ip(k) + ":8000\"";
		text = "{\"cluster\":\"c\",\"instance\":{\"name\":\"m" +
		    std::to_string(i) +
		    "\",\"dataCentre\":\"z\",\"region\":\"r\"},\"http\":{"
		    "\"listen\":\"" +
		    ip(i) + ":7390\",\"limits\":{\"memoryMb\":" +
		    std::to_string(memory_mb) + "}},\"bus\":{\"listen\":\"" +
		    ip(i) + ":7000\"},\"seeds\":[" + list +
		    "],\"gateway\":{\"front\":\"" + ip(i) +
		    ":9000\",\"readiness\":\"" + ip(i) +
		    ":9001\",\"fenced\":true}}";
		ASSERT_EQ(settings_parse(&m->settings, text.data(), text.size(),
			      &problems, &err),
		    MP_OK)
		    << problems.items[0].path << " " << problems.items[0].found;
		settings_problems_free(&problems);
		boot.settings = m->settings;
		boot.incarnation = (uint64_t)i + 1000;
		boot.seed = (uint64_t)i + 1;
		boot.now_us = now;
		boot.codec = &platform_codec;
		ASSERT_EQ(node_create(&m->node, &boot, &err), MP_OK)
		    << err.message;
		members.push_back(std::move(m));
	}

	int
	find(uint32_t id)
	{
		for (size_t i = 0; i < members.size(); i++)
			if (members[i]->settings->id == id)
				return (int)i;
		return -1;
	}

	void
	send_effects(int i)
	{
		std::vector<Sent> list;

		for (size_t k = 0; k < node_effects_count(fx); k++) {
			const struct node_effect *e = node_effects_at(fx, k);

			if (e->type != NODE_FX_SEND)
				continue;
			list.push_back({i, find(e->u.send.to),
			    std::string(
				e->u.send.bytes.data, e->u.send.bytes.len),
			    1000, nullptr});
		}
		node_effects_clear(fx);
		for (Sent &sent : list)
			send(sent);
	}

	void
	send(Sent &sent)
	{
		bool goes;

		sent.envelope = wire__envelope__unpack(nullptr,
		    sent.bytes.size(), (const uint8_t *)sent.bytes.data());
		if (sent.is_push())
			push_bytes.push_back(sent.bytes.size());
		goes = sent.to >= 0 && !dead[sent.from] && !dead[sent.to] &&
		    (!filter || filter(sent));
		wire__envelope__free_unpacked(sent.envelope, nullptr);
		if (goes)
			deliver_after(
			    sent.delay_us, sent.from, sent.to, sent.bytes);
	}

      public:
	void
	deliver_after(uint64_t us, int from, int to, const std::string &bytes)
	{
		arriving.emplace(now + us, [this, from, to, bytes] {
			struct node_event ev = {};

			if (dead[from] || dead[to])
				return;
			ev.type = NODE_EV_MESSAGE;
			ev.u.message.from = members[(size_t)from]->settings->id;
			ev.u.message.bytes = {bytes.data(), bytes.size()};
			step(to, ev);
		});
	}

      private:
	void
	step(int i, const struct node_event &ev)
	{
		node_step(node(i), now, &ev, fx);
		send_effects(i);
	}

	void
	step_all()
	{
		struct node_event tick = {};

		while (!arriving.empty() && arriving.begin()->first <= now) {
			auto run = arriving.begin()->second;

			arriving.erase(arriving.begin());
			run();
		}
		tick.type = NODE_EV_TICK;
		if (now % 10000 == 0)
			for (int i = 0; i < (int)members.size(); i++)
				if (!dead[i])
					step(i, tick);
	}
};

#endif
