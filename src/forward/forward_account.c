#include <stdlib.h>
#include <string.h>

#include "forward/forward_internal.h"
#include "util/mem.h"

/* Counts of requests by client account. */

/* Accounts that are counted one by one; the others are counted together. */
#define ACCOUNTS_MAX 100
#define OTHERS_NAME  "(others)"

static struct forward_account *
get_account(struct forward *f, const char *name)
{
	struct forward_account *a = map_get_str(f->by_account, name);

	if (a != NULL)
		return a;
	if (map_count(f->by_account) >= ACCOUNTS_MAX) {
		name = OTHERS_NAME;
		a = map_get_str(f->by_account, name);
	}
	if (a != NULL)
		return a;
	a = mem_alloc(1, sizeof(*a));
	a->name = mem_string(name);
	(void)map_set_str(f->by_account, name, a);
	return a;
}

void
fwd_count_account(struct forward *f, const struct fwd_request *r,
    uint64_t now_us, const char *outcome)
{
	struct forward_account *a;

	if (r->decoded.account == NULL)
		return;
	a = get_account(f, r->decoded.account);
	if (strcmp(outcome, "served") == 0)
		a->served++;
	else if (strcmp(outcome, "refused") == 0)
		a->refused++;
	else
		a->failed++;
	hist_add(&a->total_us, now_us - r->started_us);
}

const char *
fwd_account_text(const struct fwd_request *r, struct node_effects *fx)
{
	const char *name = r->decoded.account == NULL ? "" : r->decoded.account;
	char *copy = node_effects_copy(fx, name, strlen(name)), *c;

	for (c = copy; *c != '\0'; c++)
		if (*c == '"' || *c == '\\')
			*c = '_';
	return copy;
}

static void
account_free(void *value)
{
	struct forward_account *a = value;

	free(a->name);
	free(a);
}

void
fwd_accounts_free(struct forward *f)
{
	map_destroy_all(f->by_account, account_free);
}

const struct forward_account *
forward_account_at(const struct forward *f, size_t i)
{
	return i < map_count(f->by_account) ? map_at(f->by_account, i) : NULL;
}
