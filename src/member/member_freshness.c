/* See member_freshness.h for the reasoning. */
#include "member/member_freshness.h"
#include "member/member_guard.h"

void
member_freshness_on_applied(struct member_freshness *f, uint64_t applied)
{
	if (applied < f->awaited)
		return;
	f->confirmed_us = f->awaited_sent_us;
	f->awaited = f->commit;
	f->awaited_sent_us = f->commit_sent_us;
	if (applied >= f->commit)
		f->confirmed_us = f->commit_sent_us;
}

void
member_freshness_on_lease(
    struct member_freshness *f, uint64_t applied, const Wire__LeaseReply *reply)
{
	if (!member_reply_has_authority(reply) ||
	    reply->sent_us <= f->commit_sent_us)
		return;
	f->commit = reply->commit;
	f->commit_sent_us = reply->sent_us;
	member_freshness_on_applied(f, applied);
}

bool
member_freshness_is_behind(const struct member_freshness *f, uint64_t applied)
{
	return applied < f->commit && member_guards.known_commit;
}

bool
member_freshness_is_confirmed(
    const struct member_freshness *f, uint64_t now_us, uint64_t max_age_us)
{
	return f->confirmed_us != 0 && now_us < f->confirmed_us + max_age_us;
}
