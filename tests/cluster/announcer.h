#ifndef MP_TESTS_CLUSTER_ANNOUNCER_H
#define MP_TESTS_CLUSTER_ANNOUNCER_H

#include <cstdint>
#include <string>
#include <vector>

/*
 * The announcements of one endpoint: all of it at first and when the owner
 * asks, what has changed in between.
 */
class Announcer {
      public:
	struct Adapter {
		std::string key;
		bool loading = false;
		int running = 0;
	};

	bool short_form = true; /* else it knows the full form only */

	/*
	 * fields: those of a full announcement without adapters, JSON text
	 * without braces; load: the value of "load" and what else differs
	 * each time.
	 */
	std::string next(const std::string &id, uint64_t incarnation,
	    const std::string &fields, const std::string &load,
	    const std::vector<Adapter> &adapters);
	void on_answer(int status, const std::string &answer);
	/* The last one may be lost: tell all again. */
	void mark_lost();
	bool
	must_send_full() const
	{
		return send_full;
	}

      private:
	uint64_t sequence = 0, sent_incarnation = 0;
	std::string sent_fields;
	std::vector<Adapter> sent; /* in the order the owner knows them */
	bool send_full = true;
	std::string changes(const std::vector<Adapter> &adapters);
};

#endif
