#ifndef MP_TESTS_CLUSTER_ANNOUNCER_H
#define MP_TESTS_CLUSTER_ANNOUNCER_H

#include <cstdint>
#include <string>
#include <vector>

/*
 * The announcements of one endpoint: full ones at first and when the owner
 * requests one, otherwise short ones with the changes.
 */
class Announcer {
      public:
	struct Adapter {
		std::string key;
		bool loading = false;
		int running = 0;
	};

	bool short_form = true; /* false: sends full ones only */

	/*
	 * Returns the next announcement.
	 *
	 * fields: the fields of full announcements only but "adapters", JSON
	 * text without braces.
	 * load: "load" and the other fields of every announcement, likewise.
	 */
	std::string next(const std::string &id, uint64_t incarnation,
	    const std::string &fields, const std::string &load,
	    const std::vector<Adapter> &adapters);
	void on_answer(int status, const std::string &answer);
	/* The last announcement may be lost: the next one is full. */
	void mark_lost();
	bool
	must_send_full() const
	{
		return send_full;
	}

      private:
	uint64_t sequence = 0, sent_incarnation = 0;
	std::string sent_fields;
	std::vector<Adapter> sent; /* in the owner's order */
	bool send_full = true;
	std::string changes(const std::vector<Adapter> &adapters);
};

#endif
