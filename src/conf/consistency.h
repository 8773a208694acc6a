#ifndef MP_CONF_CONSISTENCY_H
#define MP_CONF_CONSISTENCY_H

#include "mulberrypath/settings.h"

/* Texts of settings_problem.allowed, also used by the table of fields. */
#define SETTINGS_ID_ALLOWED    "a whole number from 1 to 65535"
#define SETTINGS_PEERS_ALLOWED "at least one instance, this one included"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Checks rules that concern more than one field: ids are unique, this instance
 * is among the peers, a voter has a data folder, keys and files come in pairs.
 * Fields that are missing or were found faulty are skipped. Faults are added to
 * problems.
 */
void consistency_check(
    const struct settings *s, struct settings_problems *problems);

#ifdef __cplusplus
}
#endif

#endif
