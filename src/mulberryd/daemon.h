#ifndef MP_MULBERRYD_DAEMON_H
#define MP_MULBERRYD_DAEMON_H

#include "mulberrypath/settings.h"

/*
 * One instance as a process: turns what the loop brings into events of the
 * node and carries out its effects.
 */

enum daemon_exit {
	DAEMON_EXIT_OK = 0,
	DAEMON_EXIT_FAILED = 1, /* could not start, or was forced to end */
	DAEMON_EXIT_USAGE = 2, /* wrong options */
	DAEMON_EXIT_SETTINGS = 78 /* wrong settings; EX_CONFIG of sysexits.h */
};

/*
 * Run until stopped; the result is the process's exit code.
 *
 * config: the file that the settings are from.
 * journal: a file to record all events in, or NULL.
 */
enum daemon_exit daemon_run(
    const struct settings *settings, const char *config, const char *journal);

#endif
