#include "mulberryctl/ctl.h"

#include <getopt.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "http/address.h"
#include "mulberryctl/ctl_http.h"
#include "util/mem.h"

#define CTL_OPTIONS_MAX 48
#define CTL_TOKEN_ENV	"MULBERRYPATH_TOKEN"

struct ctl_command {
	const char *name;
	int (*run)(struct ctl *c, int argc, char **argv);
	const char *about;
};

static const struct ctl_command commands[] = {
    {"doc", ctl_doc, "apply, get, diff, history, status, rollback, validate"},
    {"check", ctl_check, "check a gateway configuration without any server"},
    {"status", ctl_status, "what an instance sees: members, work, classes"},
    {"addresses", ctl_addresses, "the entry addresses to use now"},
    {"endpoints", ctl_endpoints, "the endpoints that an instance owns"},
    {"bookings", ctl_bookings, "calls that may not be repeated"},
    {"quarantine", ctl_quarantine, "prompt parts that end endpoints"},
    {"limits", ctl_limits, "rate limits that endpoints name"},
    {"drain", ctl_drain, "let an instance leave gracefully"},
    {"load", ctl_load, "make a trace of requests, or send one"},
    {"replay", ctl_replay, "run a recorded history again"}};
static const struct ctl_command doc_commands[] = {
    {"apply", ctl_doc_apply, "put a document in the place of the current"},
    {"get", ctl_doc_get, "print the current document or an older one"},
    {"diff", ctl_doc_diff, "compare a file with the current document"},
    {"history", ctl_doc_history, "list the past revisions"},
    {"status", ctl_doc_status, "whether the current revision is in force"},
    {"rollback", ctl_doc_rollback, "apply an older revision again"},
    {"validate", ctl_doc_validate, "check files without any server"}};

void
ctl_complain(struct ctl *c, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	(void)fprintf(c->err,
	    "mulberryctl%s%s: ", c->command == NULL ? "" : " ",
	    c->command == NULL ? "" : c->command);
	(void)vfprintf(c->err, format, args);
	(void)fputc('\n', c->err);
	va_end(args);
}

bool
ctl_number(struct ctl *c, const char *name, const char *text, double min,
    double max, double *out)
{
	char *end;

	if (text == NULL)
		return true;
	*out = strtod(text, &end);
	if (end != text && *end == '\0' && *out >= min && *out <= max)
		return true;
	ctl_complain(
	    c, "--%s: found \"%s\", allowed: %g to %g", name, text, min, max);
	return false;
}

/* ---- options ------------------------------------------------------------- */

static void
print_option(FILE *out, const char *name, bool has_arg, const char *help)
{
	const char *text = has_arg ? strstr(help, "  ") : help;
	int len = has_arg && text != NULL ? (int)(text - help) : 0;

	(void)fprintf(out, "  --%s%s%.*s\n        %s\n", name,
	    len > 0 ? " " : "", len, help,
	    len > 0 && text != NULL ? text + 2 : help);
}

static void
print_usage(struct ctl *c, const struct ctl_usage *usage)
{
	size_t i;

	(void)fprintf(c->out, "usage: mulberryctl %s [options]%s%s\n\n%s\n\n",
	    c->command, *usage->operands == '\0' ? "" : " ", usage->operands,
	    usage->about);
	for (i = 0; i < usage->noptions; i++)
		print_option(c->out, usage->options[i].name,
		    usage->options[i].text != NULL, usage->options[i].help);
	(void)fputs(
	    "  --server IP:PORT[,IP:PORT...]\n"
	    "        servers, tried in this order\n"
	    "  --token TOKEN\n"
	    "        bearer token; else " CTL_TOKEN_ENV "\n"
	    "  --json\n"
	    "        print JSON\n"
	    "  --help\n"
	    "        print this text\n\n"
	    "Exit codes: 0 done, 1 refused, 2 wrong usage, 3 no server\n"
	    "answered, 4 outcome unknown.\n",
	    c->out);
}

static bool
set_servers(struct ctl *c, const char *list)
{
	char *copy = mem_string(list), *save = NULL, *word;
	struct sockaddr_in address;

	while (c->nservers > 0)
		free(c->servers[--c->nservers]);
	for (word = strtok_r(copy, ",", &save); word != NULL;
	     word = strtok_r(NULL, ",", &save)) {
		if (c->nservers == CTL_SERVERS_MAX ||
		    address_parse(&address, word) != MP_OK) {
			ctl_complain(c,
			    "--server: found \"%s\", allowed: up to %d times "
			    "IP:PORT",
			    word, CTL_SERVERS_MAX);
			break;
		}
		c->servers[c->nservers++] = mem_string(word);
	}
	free(copy);
	return word == NULL;
}

static bool
take_operands(
    struct ctl *c, int argc, char **argv, const struct ctl_usage *usage)
{
	size_t max = sizeof(c->operands) / sizeof(c->operands[0]);

	while (optind < argc && c->noperands < max)
		c->operands[c->noperands++] = argv[optind++];
	if (optind == argc && c->noperands == usage->noperands)
		return true;
	if (usage->noperands == 0)
		ctl_complain(c, "takes no operand; see --help");
	else
		ctl_complain(c, "needs %s; see --help", usage->operands);
	return false;
}

/* What getopt_long names itself by; the options are numbered from here. */
enum {
	OPTION_SERVER = 1000,
	OPTION_TOKEN,
	OPTION_JSON,
	OPTION_HELP
};

static void
fill_table(struct option *table, const struct ctl_usage *usage)
{
	static const struct option common[] = {
	    {"server", required_argument, NULL, OPTION_SERVER},
	    {"token", required_argument, NULL, OPTION_TOKEN},
	    {"json", no_argument, NULL, OPTION_JSON},
	    {"help", no_argument, NULL, OPTION_HELP}, {NULL, 0, NULL, 0}};
	size_t i;

	for (i = 0; i < usage->noptions; i++)
		table[i] = (struct option){usage->options[i].name,
		    usage->options[i].text != NULL, NULL, (int)i};
	memcpy(&table[i], common, sizeof(common));
}

bool
ctl_parse(struct ctl *c, int argc, char **argv, const struct ctl_usage *usage,
    int *code)
{
	struct option table[CTL_OPTIONS_MAX];
	const struct ctl_option *o;
	int found;

	fill_table(table, usage);
	optind = 0;
	opterr = 0;
	while ((found = getopt_long(argc, argv, ":", table, NULL)) != -1) {
		o = found < (int)usage->noptions ? &usage->options[found]
						 : NULL;
		if (found == OPTION_HELP) {
			print_usage(c, usage);
			*code = CTL_EXIT_DONE;
			return false;
		}
		if (found == '?' || found == ':') {
			ctl_complain(c, "%s: %s; see --help", argv[optind - 1],
			    found == '?' ? "unknown option" : "needs a value");
			*code = CTL_EXIT_USAGE;
			return false;
		}
		if (found == OPTION_SERVER && !set_servers(c, optarg)) {
			*code = CTL_EXIT_USAGE;
			return false;
		}
		if (found == OPTION_TOKEN)
			c->token = optarg;
		else if (found == OPTION_JSON)
			c->json = true;
		else if (o != NULL && o->text != NULL)
			*o->text = optarg;
		else if (o != NULL)
			*o->flag = true;
	}
	if (c->token == NULL)
		c->token = getenv(CTL_TOKEN_ENV);
	*code = CTL_EXIT_USAGE;
	return take_operands(c, argc, argv, usage);
}

/* ---- commands -------------------------------------------------------------
 */

static void
print_commands(
    FILE *out, const char *words, const struct ctl_command *list, size_t n)
{
	size_t i;

	(void)fprintf(out, "usage: mulberryctl %sCOMMAND [options]\n\n", words);
	for (i = 0; i < n; i++)
		(void)fprintf(out, "  %-10s %s\n", list[i].name, list[i].about);
	(void)fprintf(
	    out, "\nmulberryctl %sCOMMAND --help tells more.\n", words);
}

static int
dispatch(struct ctl *c, int argc, char **argv, const char *words,
    const struct ctl_command *list, size_t n)
{
	size_t i;

	if (argc < 2) {
		print_commands(c->err, words, list, n);
		return CTL_EXIT_USAGE;
	}
	if (strcmp(argv[1], "--help") == 0) {
		print_commands(c->out, words, list, n);
		return CTL_EXIT_DONE;
	}
	for (i = 0; i < n; i++)
		if (strcmp(argv[1], list[i].name) == 0)
			return list[i].run(c, argc - 1, argv + 1);
	ctl_complain(c, "%s: no such command; see --help", argv[1]);
	return CTL_EXIT_USAGE;
}

int
ctl_doc(struct ctl *c, int argc, char **argv)
{
	struct buf name = {0};
	int code;

	if (argc > 1) {
		buf_printf(&name, "doc %s", argv[1]);
		c->command = name.data;
	}
	code = dispatch(c, argc, argv, "doc ", doc_commands,
	    sizeof(doc_commands) / sizeof(doc_commands[0]));
	buf_free(&name);
	return code;
}

int
ctl_main(int argc, char **argv, uv_loop_t *loop, FILE *out, FILE *err)
{
	struct ctl c;
	int code;

	memset(&c, 0, sizeof(c));
	c.loop = loop;
	c.out = out;
	c.err = err;
	c.command = argc > 1 ? argv[1] : NULL;
	code = dispatch(&c, argc, argv, "", commands,
	    sizeof(commands) / sizeof(commands[0]));
	ctl_http_close(&c);
	while (c.nservers > 0)
		free(c.servers[--c.nservers]);
	return code;
}
