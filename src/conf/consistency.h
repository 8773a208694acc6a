#ifndef MP_CONF_CONSISTENCY_H
#define MP_CONF_CONSISTENCY_H

#include "mulberrypath/settings.h"

#define SETTINGS_ID_ALLOWED    "a whole number from 1 to 65535"
#define SETTINGS_PEERS_ALLOWED "at least one instance, this one included"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Check what one field alone cannot show: unique ids, this instance among
 * the peers, a data folder for each voter, keys and files in pairs. Fields
 * that were missing or faulty are passed over.
 */
void consistency_check(
    const struct settings *s, struct settings_problems *problems);

#ifdef __cplusplus
}
#endif

#endif
