#include "cluster/announcer.h"

#include <algorithm>

static std::string
full_text(const Announcer::Adapter &a)
{
	return "{\"adapter\": \"" + a.key +
	    "\", \"loading\": " + (a.loading ? "true" : "false") +
	    ", \"running\": " + std::to_string(a.running) + "}";
}

static std::string
join(const std::vector<std::string> &items)
{
	std::string out;

	for (auto &item : items)
		out += (out.empty() ? "" : ", ") + item;
	return "[" + out + "]";
}

static std::vector<Announcer::Adapter>::iterator
find(std::vector<Announcer::Adapter> &list, const std::string &key)
{
	return std::find_if(list.begin(), list.end(),
	    [&key](const Announcer::Adapter &a) { return a.key == key; });
}

/* The changes to the adapters sent last, which are set to the new ones. */
std::string
Announcer::changes(const std::vector<Adapter> &adapters)
{
	std::vector<Adapter> now = adapters;
	std::vector<std::string> dropped, changed, running;
	std::string out;
	bool counts = false;

	for (auto it = sent.begin(); it != sent.end();) {
		if (find(now, it->key) != now.end()) {
			++it;
			continue;
		}
		dropped.push_back("\"" + it->key + "\"");
		it = sent.erase(it);
	}
	for (auto &a : now) {
		auto known = find(sent, a.key);

		if (known == sent.end() || known->loading != a.loading)
			changed.push_back(full_text(a));
		if (known == sent.end()) {
			sent.push_back(a);
			continue;
		}
		counts |= known->running != a.running;
		*known = a;
	}
	for (auto &a : sent)
		running.push_back(std::to_string(a.running));
	if (!dropped.empty())
		out += ", \"dropped\": " + join(dropped);
	if (!changed.empty())
		out += ", \"adapters\": " + join(changed);
	if (counts)
		out += ", \"running\": " + join(running);
	return out;
}

std::string
Announcer::next(const std::string &id, uint64_t incarnation,
    const std::string &fields, const std::string &load,
    const std::vector<Adapter> &adapters)
{
	std::string out = "{\"id\": \"" + id +
	    "\", \"incarnation\": " + std::to_string(incarnation);
	std::vector<std::string> texts;

	send_full |= !short_form || incarnation != sent_incarnation ||
	    fields != sent_fields;
	sequence++;
	if (short_form)
		out += ", \"sequence\": " + std::to_string(sequence);
	if (!send_full)
		return out + ", \"since\": " + std::to_string(sequence - 1) +
		    ", " + load + changes(adapters) + "}";
	send_full = false;
	sent = adapters;
	sent_incarnation = incarnation;
	sent_fields = fields;
	for (auto &a : adapters)
		texts.push_back(full_text(a));
	return out + ", " + fields + ", " + load +
	    ", \"adapters\": " + join(texts) + "}";
}

void
Announcer::on_answer(int status, const std::string &answer)
{
	if (status != 200 || answer.find("\"sendAll\": true") != answer.npos)
		send_full = true;
}

void
Announcer::mark_lost()
{
	send_full = true;
}
