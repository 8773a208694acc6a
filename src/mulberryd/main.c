/* Command line of mulberryd. */

#include <getopt.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>

#include "bus/bus.h"
#include "mulberryd/daemon.h"

static const char usage[] =
    "usage: mulberryd --config FILE [--check] [--journal FILE]\n"
    "       mulberryd --generate-keys\n"
    "\n"
    "Run one instance of mulberrypath.\n"
    "\n"
    "  --config FILE  settings of the instance, JSON\n"
    "  --check        check the settings, report all faults and exit\n"
    "  --journal FILE\n"
    "                 record all events for \"mulberryctl replay\"; holds\n"
    "                 bodies and tokens\n"
    "  --generate-keys\n"
    "                 print a new key pair for the settings' \"bus\" and exit\n"
    "  --version      print the version and exit\n"
    "  --help         print this text and exit\n"
    "\n"
    "SIGTERM or SIGINT: leave gracefully; a second one: end at once.\n"
    "Exit codes: 0 ended as asked, 1 could not start or was forced to end,\n"
    "2 wrong options, 78 wrong settings.\n";

struct options {
	const char *config, *journal; /* paths; NULL: not given */
	bool check; /* validate the settings and exit */
};

/* Prints the error of a settings file and each invalid value in it. */
static void
print_problems(const char *file, const struct settings_problems *problems,
    const struct mp_error *err)
{
	size_t i;

	(void)fprintf(stderr, "mulberryd: %s: %s\n", file, err->message);
	for (i = 0; i < problems->count; i++)
		(void)fprintf(stderr, "  %s: found %s, allowed: %s\n",
		    problems->items[i].path, problems->items[i].found,
		    problems->items[i].allowed);
}

/* Loads the settings, then runs the daemon unless --check is given. */
static int
load_and_run(const struct options *options)
{
	struct settings_problems problems = {0};
	struct settings *settings = NULL;
	struct mp_error err = {0};
	int exit_code = DAEMON_EXIT_SETTINGS;

	if (settings_load(&settings, options->config, &problems, &err) !=
	    MP_OK) {
		print_problems(options->config, &problems, &err);
		if (err.code == MP_ERR_IO)
			exit_code = DAEMON_EXIT_USAGE;
	} else if (options->check) {
		(void)puts("settings are valid");
		exit_code = DAEMON_EXIT_OK;
	} else {
		exit_code = (int)daemon_run(
		    settings, options->config, options->journal);
	}
	settings_problems_free(&problems);
	settings_destroy(settings);
	return exit_code;
}

/* Prints a new key pair for the bus as JSON. */
static int
generate_keys(void)
{
	char public_key[BUS_KEY_TEXT_BYTES], secret_key[BUS_KEY_TEXT_BYTES];
	struct mp_error err;

	if (bus_generate_keys(public_key, secret_key, &err) != MP_OK) {
		(void)fprintf(stderr, "mulberryd: %s\n", err.message);
		return DAEMON_EXIT_FAILED;
	}
	(void)printf("{\"publicKey\": \"%s\", \"secretKey\": \"%s\"}\n",
	    public_key, secret_key);
	return DAEMON_EXIT_OK;
}

int
main(int argc, char **argv)
{
	static const struct option long_options[] = {
	    {"config", required_argument, NULL, 'f'},
	    {"check", no_argument, NULL, 'c'},
	    {"journal", required_argument, NULL, 'j'},
	    {"generate-keys", no_argument, NULL, 'g'},
	    {"version", no_argument, NULL, 'v'},
	    {"help", no_argument, NULL, 'h'},
	    {NULL, 0, NULL, 0},
	};
	struct options options = {0};
	int c;

	while ((c = getopt_long(argc, argv, "", long_options, NULL)) != -1) {
		switch (c) {
		case 'f':
			options.config = optarg;
			break;
		case 'c':
			options.check = true;
			break;
		case 'j':
			options.journal = optarg;
			break;
		case 'g':
			return generate_keys();
		case 'v':
			(void)puts("mulberryd " MP_VERSION);
			return DAEMON_EXIT_OK;
		case 'h':
			(void)fputs(usage, stdout);
			return DAEMON_EXIT_OK;
		default:
			(void)fputs(usage, stderr);
			return DAEMON_EXIT_USAGE;
		}
	}
	/*
	 * Seeds the hash tables of JSON objects at random: callers choose the
	 * keys of request bodies and could otherwise make them collide.
	 */
	json_object_seed(0);
	if (options.config == NULL || optind < argc) {
		(void)fputs(usage, stderr);
		return DAEMON_EXIT_USAGE;
	}
	return load_and_run(&options);
}
