#include <string.h>

#include "forward/forward_internal.h"
#include "util/mem.h"

/* Events of a stream end with an empty line; lines end in LF or CR LF. */

size_t
fwd_events_complete_len(const char *data, size_t len)
{
	size_t i, line = 0, whole = 0;

	for (i = 0; i < len; i++) {
		if (data[i] != '\n')
			continue;
		if (i == line || (i == line + 1 && data[line] == '\r'))
			whole = i + 1;
		line = i + 1;
	}
	return whole;
}

char *
fwd_events_last_id(const char *data, size_t len)
{
	static const char key[] = "id:";
	const char *at = data, *end = data + len, *eol, *value = NULL;
	size_t value_len = 0;

	while (at < end) {
		eol = memchr(at, '\n', (size_t)(end - at));
		if (eol == NULL)
			break;
		if ((size_t)(eol - at) >= sizeof(key) - 1 &&
		    memcmp(at, key, sizeof(key) - 1) == 0) {
			value = at + sizeof(key) - 1;
			while (value < eol && *value == ' ')
				value++;
			value_len = (size_t)(eol - value);
			if (value_len > 0 && value[value_len - 1] == '\r')
				value_len--;
		}
		at = eol + 1;
	}
	return value == NULL ? NULL : mem_copy(value, value_len);
}
