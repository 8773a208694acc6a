#include "doc/doc.h"
#include "fuzz/node_harness.h"

static void
use(struct doc *doc)
{
	const struct doc_adapter *adapter;
	const char *version;
	size_t i;

	for (i = 0; i < doc->nadapters; i++)
		(void)doc_resolve_model(
		    doc, doc->adapters[i].name, &adapter, &version, NULL);
	for (i = 0; i < doc->nservices; i++)
		(void)doc_find_call(&doc->services[i], "GET", "/status/1");
	doc_unref(doc);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct settings_problems problems = {0};
	struct doc_table *book = doc_table_create();
	struct doc *doc = NULL;
	struct doc_result result;
	struct mp_error err;

	if (doc_parse(&doc, (const char *)data, size, &problems, &err) == MP_OK)
		use(doc);
	doc_table_apply(
	    book, 1, "t1", 0, "c", "op", 0, (const char *)data, size, &result);
	settings_problems_free(&problems);
	doc_table_destroy(book);
	return 0;
}
