#ifndef MP_TESTS_BUS_FORWARDER_H
#define MP_TESTS_BUS_FORWARDER_H

#include <gtest/gtest.h>
#include <uv.h>

#include <algorithm>
#include <cstdlib>
#include <list>
#include <string>

/*
 * Forwards TCP connections to a port of the same host. stall() makes the open
 * connections discard all further bytes, as when a middlebox has dropped their
 * state; new connections are forwarded. slow() limits what each connection
 * carries per 10 ms, like a slow link; 0 lets nothing through.
 */
class Forwarder {
      public:
	Forwarder(uv_loop_t *loop, int target) : loop(loop), target(target)
	{
		struct sockaddr_in any, name;
		int len = sizeof(name);

		uv_ip4_addr("127.0.0.1", 0, &any);
		uv_tcp_init(loop, &listener);
		listener.data = this;
		uv_tcp_bind(&listener, (struct sockaddr *)&any, 0);
		EXPECT_EQ(
		    uv_listen((uv_stream_t *)&listener, 16, on_accept), 0);
		uv_tcp_getsockname(&listener, (struct sockaddr *)&name, &len);
		port = ntohs(name.sin_port);
	}

	void
	stall()
	{
		for (auto &s : streams)
			s.stalled = true;
	}

	void
	slow(size_t bytes_per_10_ms)
	{
		is_slow = true;
		rate = bytes_per_10_ms;
		uv_timer_init(loop, &timer);
		timer.data = this;
		uv_timer_start(&timer, on_timer, 10, 10);
	}

	/* Close all handles; delete the object after the loop has run. */
	void
	close()
	{
		uv_close((uv_handle_t *)&listener, nullptr);
		if (is_slow)
			uv_close((uv_handle_t *)&timer, nullptr);
		for (auto &s : streams)
			uv_close((uv_handle_t *)&s.tcp, nullptr);
	}

	int port;
	int accepted = 0;

      private:
	struct Stream {
		uv_tcp_t tcp;
		uv_connect_t connect;
		Stream *other;
		Forwarder *owner;
		bool stalled = false;
		std::string waiting; /* while slow, to be sent to other */
	};

	/* While more is waiting, a slow connection is not read. */
	static constexpr size_t waiting_max = 65536;

	Stream *
	add_stream()
	{
		streams.emplace_back();
		uv_tcp_init(loop, &streams.back().tcp);
		streams.back().tcp.data = &streams.back();
		streams.back().owner = this;
		return &streams.back();
	}

	static void
	on_alloc(uv_handle_t *, size_t size, uv_buf_t *buf)
	{
		*buf = uv_buf_init((char *)malloc(size), (unsigned)size);
	}

	static void
	on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
	{
		Stream *s = (Stream *)stream->data;

		if (n > 0 && s->owner->is_slow) {
			s->waiting.append(buf->base, (size_t)n);
			if (s->waiting.size() > waiting_max)
				uv_read_stop(stream);
		} else if (n > 0 && !s->stalled) {
			uv_buf_t out = uv_buf_init(buf->base, (unsigned)n);

			uv_try_write((uv_stream_t *)&s->other->tcp, &out, 1);
		}
		free(buf->base);
	}

	static void
	on_timer(uv_timer_t *handle)
	{
		Forwarder *f = (Forwarder *)handle->data;

		for (auto &s : f->streams) {
			size_t n = std::min(f->rate, s.waiting.size());
			uv_buf_t out =
			    uv_buf_init((char *)s.waiting.data(), (unsigned)n);
			int written;

			if (n == 0)
				continue;
			written =
			    uv_try_write((uv_stream_t *)&s.other->tcp, &out, 1);
			if (written > 0)
				s.waiting.erase(0, (size_t)written);
			if (s.waiting.size() <= waiting_max)
				uv_read_start(
				    (uv_stream_t *)&s.tcp, on_alloc, on_read);
		}
	}

	static void
	on_connect(uv_connect_t *request, int status)
	{
		Stream *out = (Stream *)request->data;

		if (status != 0)
			return;
		uv_read_start((uv_stream_t *)&out->tcp, on_alloc, on_read);
		uv_read_start(
		    (uv_stream_t *)&out->other->tcp, on_alloc, on_read);
	}

	static void
	on_accept(uv_stream_t *server, int)
	{
		Forwarder *f = (Forwarder *)server->data;
		Stream *in = f->add_stream();
		Stream *out = f->add_stream();
		struct sockaddr_in address;

		f->accepted++;
		in->other = out;
		out->other = in;
		uv_accept(server, (uv_stream_t *)&in->tcp);
		uv_ip4_addr("127.0.0.1", f->target, &address);
		out->connect.data = out;
		uv_tcp_connect(&out->connect, &out->tcp,
		    (struct sockaddr *)&address, on_connect);
	}

	uv_loop_t *loop;
	int target;
	uv_tcp_t listener;
	uv_timer_t timer;
	bool is_slow = false;
	size_t rate = 0;
	std::list<Stream> streams;
};

#endif
