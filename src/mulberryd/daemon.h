#ifndef MP_MULBERRYD_DAEMON_H
#define MP_MULBERRYD_DAEMON_H

#include "mulberrypath/settings.h"

/*
 * One instance of mulberrypath as a process. The daemon is the executor of
 * the node, a deterministic state machine (mulberrypath/node.h): it turns
 * requests, messages, timers, signals and results of writes, as the event loop
 * delivers them, into events of the node, and executes the resulting effects.
 */

/* Exit codes of the process. */

enum daemon_exit {
	DAEMON_EXIT_OK = 0,
	DAEMON_EXIT_FAILED = 1, /* could not start, or was forced to exit */
	DAEMON_EXIT_USAGE = 2, /* invalid command line */
	DAEMON_EXIT_SETTINGS = 78 /* invalid; EX_CONFIG of sysexits.h */
};

/*
 * Runs the instance until it has shut down, as after SIGTERM or SIGINT, or
 * fails to start. Errors are logged. A second SIGTERM or SIGINT exits the
 * process without returning, and so does closing the servers, connections and
 * the store when that takes longer than 5 s.
 *
 * settings: valid settings; borrowed until the function returns.
 * config: path of the settings file, read again on SIGHUP and for the journal.
 * journal: path of the file to record all events in, or NULL.
 *
 * Returns the exit code for the process.
 */
enum daemon_exit daemon_run(
    const struct settings *settings, const char *config, const char *journal);

#endif
