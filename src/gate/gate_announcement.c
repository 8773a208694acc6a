#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "mulberrypath/gateway.h"

/*
 * Checks of announcements that do not depend on the wire format. Endpoints are
 * not trusted, and an entry in the table may come from another instance.
 */

#define TEXT_MAX_BYTES 256u
#define SLOTS_MAX      65536u
/* A count of announcements, or milliseconds since 1970. */
#define NUMBER_MAX ((uint64_t)1 << 48)
#define OCTETS	   4
#define OCTET_MAX  255u
#define PORT_MAX   65535u
/* Digits of a number in an address, with leading zeros. */
#define DIGITS_MAX 5u

static int
refuse(struct mp_error *err, const char *what)
{
	return mp_error_set(
	    err, MP_LAYER_GATE, MP_ERR_INVALID, "the %s is invalid", what);
}

/* A text that can stand in a header: printable, not empty, not too long. */
static bool
is_name(const char *text)
{
	size_t len = strnlen(text, TEXT_MAX_BYTES + 1), i;

	if (len == 0 || len > TEXT_MAX_BYTES)
		return false;
	for (i = 0; i < len; i++)
		if (iscntrl((unsigned char)text[i]))
			return false;
	return true;
}

/* Reads digits up to a number; NULL: there are none, or it is too large. */
static const char *
skip_number(const char *text, unsigned long max, unsigned long *out)
{
	size_t digits = strspn(text, "0123456789");

	if (digits == 0 || digits > DIGITS_MAX)
		return NULL;
	*out = strtoul(text, NULL, 10);
	return *out > max ? NULL : text + digits;
}

bool
gw_address_is_valid(const char *text)
{
	unsigned long number;
	int i;

	for (i = 0; i < OCTETS; i++) {
		text = skip_number(text, OCTET_MAX, &number);
		if (text == NULL || *text != (i == OCTETS - 1 ? ':' : '.'))
			return false;
		text++;
	}
	text = skip_number(text, PORT_MAX, &number);
	return text != NULL && *text == '\0' && number > 0;
}

int
gw_announcement_check(const struct gw_announcement *a, struct mp_error *err)
{
	if (!is_name(a->id))
		return refuse(err, "id");
	if (!is_name(a->service))
		return refuse(err, "service");
	if (!gw_address_is_valid(a->address))
		return refuse(err, "address");
	if (strnlen(a->data_centre, TEXT_MAX_BYTES + 1) > TEXT_MAX_BYTES)
		return refuse(err, "data centre");
	if (a->slots == 0 || a->slots > SLOTS_MAX)
		return refuse(err, "number of slots");
	if (a->sequence > NUMBER_MAX)
		return refuse(err, "sequence number");
	if (a->born_ms > NUMBER_MAX)
		return refuse(err, "start of the process");
	return MP_OK;
}
