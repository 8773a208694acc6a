#include <string.h>

#include "forward/forward_internal.h"
#include "util/mem.h"

/*
 * Server-sent events: an empty line ends an event; lines end with LF or CR LF.
 */

size_t
fwd_events_complete_len(const char *data, size_t len)
{
	size_t i, line_start = 0, complete_len = 0;

	for (i = 0; i < len; i++) {
		if (data[i] != '\n')
			continue;
		if (i == line_start ||
		    (i == line_start + 1 && data[line_start] == '\r'))
			complete_len = i + 1;
		line_start = i + 1;
	}
	return complete_len;
}

void
fwd_events_follow(struct fwd_event_state *state, const char *data, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (data[i] == '\n') {
			state->is_in_event =
			    state->is_in_event && state->is_in_line;
			state->is_in_line = false;
			continue;
		}
		state->is_in_event = true;
		if (data[i] != '\r')
			state->is_in_line = true;
	}
}

char *
fwd_events_last_id(const char *data, size_t len)
{
	static const char key[] = "id:";
	const char *line = data, *end = data + len, *eol, *value = NULL;
	size_t value_len = 0;

	while (line < end) {
		eol = memchr(line, '\n', (size_t)(end - line));
		if (eol == NULL)
			break;
		if ((size_t)(eol - line) >= sizeof(key) - 1 &&
		    memcmp(line, key, sizeof(key) - 1) == 0) {
			value = line + sizeof(key) - 1;
			while (value < eol && *value == ' ')
				value++;
			value_len = (size_t)(eol - value);
			if (value_len > 0 && value[value_len - 1] == '\r')
				value_len--;
		}
		line = eol + 1;
	}
	return value == NULL ? NULL : mem_copy(value, value_len);
}
