#include <stdio.h>
#include <string.h>

#include "conf/consistency.h"
#include "conf/text_check.h"

#define PATH_BYTES_MAX 64

static void
check_both_or_neither(struct settings_problems *problems, const char *path_a,
    const char *a, const char *path_b, const char *b)
{
	if (a != NULL && b == NULL)
		settings_problems_add(problems, path_b, "nothing",
		    "both settings of the pair or neither");
	if (a == NULL && b != NULL)
		settings_problems_add(problems, path_a, "nothing",
		    "both settings of the pair or neither");
}

static void
check_advertised(
    struct settings_problems *problems, const char *path, const char *address)
{
	if (address != NULL && text_check_wildcard_address(address))
		settings_problems_add(problems, path, address,
		    "an address that others can connect to");
}

/* Reports each field of peer i whose value an earlier peer has, too. */
static void
check_peer_unique(
    const struct settings *s, size_t i, struct settings_problems *problems)
{
	const struct settings_peer *p = &s->peers[i];
	char path[PATH_BYTES_MAX], found[PATH_BYTES_MAX];
	size_t j;

	for (j = 0; j < i; j++) {
		const struct settings_peer *q = &s->peers[j];

		if (p->id != 0 && p->id == q->id) {
			(void)snprintf(
			    path, sizeof(path), "$.peers[%zu].id", i);
			(void)snprintf(found, sizeof(found), "%u", p->id);
			settings_problems_add(problems, path, found,
			    "an id that no other peer has");
		}
		if (p->bus != NULL && q->bus != NULL &&
		    strcmp(p->bus, q->bus) == 0) {
			(void)snprintf(
			    path, sizeof(path), "$.peers[%zu].bus", i);
			settings_problems_add(problems, path, p->bus,
			    "an address that no other peer has");
		}
		if (p->public_key != NULL && q->public_key != NULL &&
		    strcmp(p->public_key, q->public_key) == 0) {
			(void)snprintf(
			    path, sizeof(path), "$.peers[%zu].publicKey", i);
			settings_problems_add(problems, path, p->public_key,
			    "a key that no other peer has");
		}
	}
}

static void
check_peer_key(
    const struct settings *s, size_t i, struct settings_problems *problems)
{
	const struct settings_peer *p = &s->peers[i];
	char path[PATH_BYTES_MAX];

	(void)snprintf(path, sizeof(path), "$.peers[%zu].publicKey", i);
	if (s->public_key != NULL && p->public_key == NULL)
		settings_problems_add(problems, path, "nothing",
		    "the peer's CURVE key, as $.bus.publicKey is set");
	if (s->public_key == NULL && p->public_key != NULL)
		settings_problems_add(problems, path, p->public_key,
		    "nothing, as $.bus.publicKey is not set");
}

static void
check_own_peer(
    const struct settings *s, size_t i, struct settings_problems *problems)
{
	const struct settings_peer *p = &s->peers[i];
	char path[PATH_BYTES_MAX];

	if (p->bus != NULL && s->bus_advertise != NULL &&
	    strcmp(p->bus, s->bus_advertise) != 0) {
		(void)snprintf(path, sizeof(path), "$.peers[%zu].bus", i);
		settings_problems_add(
		    problems, path, p->bus, "this instance's $.bus.advertise");
	}
	if (p->public_key != NULL && s->public_key != NULL &&
	    strcmp(p->public_key, s->public_key) != 0) {
		(void)snprintf(path, sizeof(path), "$.peers[%zu].publicKey", i);
		settings_problems_add(problems, path, p->public_key,
		    "this instance's $.bus.publicKey");
	}
	if (p->voter && s->data_folder == NULL)
		settings_problems_add(problems, "$.dataFolder", "nothing",
		    "a folder, as this instance is a voter");
	if (!p->voter && s->data_folder != NULL) {
		(void)snprintf(path, sizeof(path), "$.peers[%zu].voter", i);
		settings_problems_add(problems, path, "false",
		    "true, as this instance has a data folder");
	}
}

/* Returns whether a fault was found at a path or below it. */
static bool
has_problem(const struct settings_problems *problems, const char *path)
{
	size_t i;

	for (i = 0; i < problems->count; i++)
		if (strncmp(problems->items[i].path, path, strlen(path)) == 0)
			return true;
	return false;
}

/* Requires seeds with a usable address, or peers and this instance's id. */
static void
check_discovery(const struct settings *s, struct settings_problems *problems)
{
	if (problems->count > 0 && strcmp(problems->items[0].path, "$") == 0)
		return; /* no JSON object; any other fault follows from it */
	if (s->nseeds > 0 && s->npeers == 0 && s->bus_advertise != NULL &&
	    !has_problem(problems, "$.seeds"))
		settings_problems_add(problems, "$.seeds", "no usable address",
		    "at least one address");
	if (s->nseeds > 0)
		return;
	if (s->npeers == 0 && !has_problem(problems, "$.peers"))
		settings_problems_add(
		    problems, "$.peers", "nothing", SETTINGS_PEERS_ALLOWED);
	if (s->id == 0 && !has_problem(problems, "$.instance"))
		settings_problems_add(
		    problems, "$.instance.id", "nothing", SETTINGS_ID_ALLOWED);
}

static void
check_peers(const struct settings *s, struct settings_problems *problems)
{
	bool found_self = false;
	bool found_voter = false;
	size_t i;

	if (s->nseeds > 0)
		return;

	for (i = 0; i < s->npeers; i++) {
		check_peer_unique(s, i, problems);
		check_peer_key(s, i, problems);
		found_voter = found_voter || s->peers[i].voter;
		if (s->id == 0 || s->peers[i].id != s->id)
			continue;
		if (!found_self)
			check_own_peer(s, i, problems);
		found_self = true;
	}
	if (s->npeers > 0 && s->id != 0 && !found_self)
		settings_problems_add(problems, "$.peers",
		    "no peer with this instance's id",
		    "all founding instances");
	if (s->npeers > 0 && !found_voter)
		settings_problems_add(
		    problems, "$.peers", "no voter", "at least one voter");
}

static void
check_operators(const struct settings *s, struct settings_problems *problems)
{
	char path[PATH_BYTES_MAX];
	size_t i, j;

	for (i = 0; i < s->noperators; i++) {
		const char *name = s->operators[i].name;

		for (j = 0; name != NULL && j < i; j++) {
			if (s->operators[j].name == NULL ||
			    strcmp(name, s->operators[j].name) != 0)
				continue;
			(void)snprintf(
			    path, sizeof(path), "$.operators[%zu].name", i);
			settings_problems_add(problems, path, name,
			    "a name that no other operator has");
		}
	}
}

void
consistency_check(const struct settings *s, struct settings_problems *problems)
{
	check_both_or_neither(problems, "$.http.tls.certificate",
	    s->tls_certificate, "$.http.tls.key", s->tls_key);
	check_both_or_neither(problems, "$.bus.publicKey", s->public_key,
	    "$.bus.secretKey", s->secret_key);
	check_advertised(problems, "$.http.advertise", s->http_advertise);
	check_advertised(problems, "$.bus.advertise", s->bus_advertise);
	if (s->http_listen != NULL && s->bus_listen != NULL &&
	    strcmp(s->http_listen, s->bus_listen) == 0)
		settings_problems_add(problems, "$.bus.listen", s->bus_listen,
		    "an address other than $.http.listen");
	check_discovery(s, problems);
	check_peers(s, problems);
	check_operators(s, problems);
}
