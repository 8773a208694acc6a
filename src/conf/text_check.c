#include <arpa/inet.h>
#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "conf/text_check.h"

#define NAME_BYTES_MAX	64
#define HOST_BYTES_MAX	64
#define PORT_DIGITS_MAX 5
#define PORT_MAX	65535
#define Z85_KEY_BYTES	40
#define HASH_HEX_BYTES	64
#define WILDCARD_HOST	"0.0.0.0"

bool
text_check_name(const char *s)
{
	size_t len = strlen(s);
	size_t i;

	if (len == 0 || len > NAME_BYTES_MAX)
		return false;
	for (i = 0; i < len; i++) {
		if (!isalnum((unsigned char)s[i]) &&
		    strchr("-_.", s[i]) == NULL)
			return false;
	}
	return true;
}

bool
text_check_team(const char *s)
{
	return strcmp(s, "*") == 0 || text_check_name(s);
}

static bool
is_valid_port(const char *s)
{
	size_t len = strlen(s);

	if (len == 0 || len > PORT_DIGITS_MAX || s[0] == '0' ||
	    strspn(s, "0123456789") != len)
		return false;
	return strtol(s, NULL, 10) <= PORT_MAX;
}

/* Splits "host:port". Returns false without a colon or if host is too long. */
static bool
split_address(const char *s, char host[HOST_BYTES_MAX], const char **port)
{
	const char *colon = strrchr(s, ':');

	if (colon == NULL || colon - s >= HOST_BYTES_MAX)
		return false;
	memcpy(host, s, (size_t)(colon - s));
	host[colon - s] = '\0';
	*port = colon + 1;
	return true;
}

bool
text_check_address(const char *s)
{
	char host[HOST_BYTES_MAX];
	struct in_addr bytes;
	const char *port;

	return split_address(s, host, &port) && is_valid_port(port) &&
	    inet_pton(AF_INET, host, &bytes) == 1;
}

bool
text_check_wildcard_address(const char *s)
{
	char host[HOST_BYTES_MAX];
	const char *port;

	return split_address(s, host, &port) &&
	    strcmp(host, WILDCARD_HOST) == 0;
}

bool
text_check_z85(const char *s)
{
	size_t i;

	if (strlen(s) != Z85_KEY_BYTES)
		return false;
	for (i = 0; i < Z85_KEY_BYTES; i++) {
		if (!isalnum((unsigned char)s[i]) &&
		    strchr(".-:+=^!/*?&<>()[]{}@%$#", s[i]) == NULL)
			return false;
	}
	return true;
}

bool
text_check_hash(const char *s)
{
	return strlen(s) == HASH_HEX_BYTES &&
	    strspn(s, "0123456789abcdef") == HASH_HEX_BYTES;
}

bool
text_check_file(const char *s)
{
	return *s != '\0';
}
