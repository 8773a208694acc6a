#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "mulberrypath/error.h"

int
mp_error_set(struct mp_error *err, enum mp_layer layer, int code,
    const char *format, ...)
{
	va_list args;

	if (err == NULL)
		return code;
	err->layer = layer;
	err->code = code;
	va_start(args, format);
	(void)vsnprintf(err->message, sizeof(err->message), format, args);
	va_end(args);
	return code;
}

int
mp_error_wrap(
    struct mp_error *err, enum mp_layer layer, int code, const char *what)
{
	char lower_message[MP_ERROR_MESSAGE_BYTES];

	if (err == NULL)
		return code;
	memcpy(lower_message, err->message, sizeof(lower_message));
	lower_message[sizeof(lower_message) - 1] = '\0';
	return mp_error_set(err, layer, code, "%s: %s", what, lower_message);
}

const char *
mp_layer_name(enum mp_layer layer)
{
	static const char *const names[] = {"none", "util", "wire", "raft",
	    "store", "member", "doc", "claim", "sched", "route", "node", "http",
	    "bus", "conf", "cli", "gate", "platform"};

	if ((size_t)layer >= sizeof(names) / sizeof(names[0]))
		return "unknown";
	return names[layer];
}

const char *
mp_code_name(int code)
{
	static const char *const names[] = {"ok", "memory", "invalid",
	    "not-found", "exists", "conflict", "not-leader", "unavailable",
	    "corrupt", "io", "limit", "denied", "expired"};

	if (code > 0 || (size_t)-code >= sizeof(names) / sizeof(names[0]))
		return "unknown";
	return names[-code];
}
