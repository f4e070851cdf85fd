/* Mechanisms.  Parts of the relay's decisions that can be disabled one by one,
   to measure the effect of each.  */

#ifndef RELAY_MECH_H
#define RELAY_MECH_H

#include <glib.h>
#include <stdbool.h>

typedef enum
{
  MECH_PREFIX_FETCH = 1u << 0,
  MECH_PREFIX_AFFINITY = 1u << 1,
  MECH_PREFIX_WAIT = 1u << 2,
  MECH_THROTTLE = 1u << 3,
  MECH_LATE_LAST = 1u << 4,
  MECH_ZONE_COST = 1u << 5,
  MECH_REJECT_PAUSE = 1u << 6,
  MECH_EARLY_REJECT = 1u << 7,
  MECH_LOAD_READINESS = 1u << 8,
  MECH_PEER_UPDATES = 1u << 9,
  MECH_LOAD_SHEDDING = 1u << 10,
  MECH_PAUSE_LIMIT = 1u << 11,
  MECH_ENDPOINT_SPEED = 1u << 12,
  MECH_LOAD_BALANCE = 1u << 13
} mech_t;

/* Parses NAMES, separated by commas, into BITS; NULL stands for none.  Returns
   false with CFD_ERROR_SETTING when a name is unknown.  */
bool mech_parse (const char *names, unsigned *bits, GError **error);

/* Returns a line "NAME: description" for each mechanism; free with g_free.  */
char *mech_help (void);

#endif
