/* The connections of the relay: bytes on their way in both directions.  */

#ifndef TESTS_RELAY_H
#define TESTS_RELAY_H

#include "base/list.h"
#include <ev.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

typedef struct lane lane_t;
typedef struct pair pair_t;

/* The lane of this delay in LANES, shared by all mappings.  */
lane_t *lane_get (struct ev_loop *loop, GPtrArray *lanes, int64_t delay_us);

/* Relays between the accepted socket NEAR and a new connection to TARGET, and
   puts the pair into LIST.  SILENT ones never pass a byte.  */
void pair_start (struct ev_loop *loop, lane_t *lane, int near,
                 const struct sockaddr_in *target, bool silent,
                 list_node_t *list);
/* Closes and frees each pair of LIST.  */
void pair_cut_all (list_node_t *list);
/* Each pair of LIST goes silent for good.  */
void pair_silence_all (list_node_t *list);

#endif
