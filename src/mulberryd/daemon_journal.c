/* Recording of the node's events for "mulberryctl replay". */

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "mulberryd/daemon_internal.h"

/* Appends the content of a file. Errors: MP_ERR_IO. */
static int
read_file(struct buf *out, const char *file, struct mp_error *err)
{
	char chunk[4096];
	FILE *f = fopen(file, "re");
	size_t n;

	if (f == NULL)
		return mp_error_set(err, MP_LAYER_CLI, MP_ERR_IO, "%s: %s",
		    file, strerror(errno));
	while ((n = fread(chunk, 1, sizeof(chunk), f)) > 0)
		buf_append(out, chunk, n);
	(void)fclose(f);
	return MP_OK;
}

int
daemon_journal_open(
    struct daemon *d, const struct node_boot *boot, struct mp_error *err)
{
	struct buf settings = {0};
	int code;

	if (d->journal_file == NULL)
		return MP_OK;
	code = read_file(&settings, d->config_file, err);
	if (code == MP_OK)
		code = journal_create(&d->journal, d->journal_file, boot,
		    (struct node_bytes){settings.data, settings.len}, err);
	buf_free(&settings);
	return code;
}

static void
log_journal_failure(struct daemon *d, const struct mp_error *err)
{
	log_output_write_event(
	    d->log, EVENT_JOURNAL_FAILED, "{\"reason\": \"%s\"}", err->message);
}

void
daemon_journal_write_step(
    struct daemon *d, uint64_t now_us, const struct node_event *ev)
{
	struct mp_error err = {0};

	if (d->journal == NULL ||
	    journal_write_step(d->journal, now_us, ev, d->effects, &err) ==
		MP_OK)
		return;
	log_journal_failure(d, &err);
	(void)journal_close(d->journal, NULL);
	d->journal = NULL;
}

void
daemon_journal_close(struct daemon *d)
{
	struct mp_error err = {0};

	if (d->journal != NULL && journal_close(d->journal, &err) != MP_OK)
		log_journal_failure(d, &err);
}
