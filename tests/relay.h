/* The connections of the relay: bytes on their way in both directions.  */

#ifndef TESTS_RELAY_H
#define TESTS_RELAY_H

#include "base/list.h"
#include <ev.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

typedef struct delay_line delay_line_t;
typedef struct relay_conn relay_conn_t;

/* The delay_line of this delay in LANES, shared by all mappings.  */
delay_line_t *delay_line_get (struct ev_loop *loop, GPtrArray *delay_lines,
                              int64_t delay_us);

/* Relays between the accepted socket NEAR and a new connection to TARGET, and
   puts the relay_conn into LIST.  SILENT ones never pass a byte.  */
void relay_conn_start (struct ev_loop *loop, delay_line_t *delay_line,
                       int accepted_fd, const struct sockaddr_in *target,
                       bool stalled, list_node_t *list);
/* Closes and frees each relay_conn of LIST.  */
void relay_conn_close_all (list_node_t *list);
/* Each relay_conn of LIST goes stalled for good.  */
void relay_conn_stall_all (list_node_t *list);

#endif
