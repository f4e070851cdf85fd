/* Relay connections: delayed forwarding of bytes in both directions.  */

#ifndef TESTS_RELAY_H
#define TESTS_RELAY_H

#include "base/list.h"
#include <ev.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

typedef struct delay_line delay_line_t;
typedef struct relay_conn relay_conn_t;

/* Returns the delay line for a delay; all mappings share DELAY_LINES.  */
delay_line_t *delay_line_get (struct ev_loop *loop, GPtrArray *delay_lines,
                              int64_t delay_us);

/* Relays between the socket ACCEPTED_FD and a new connection to TARGET, and
   appends the connection to LIST.  A STALLED one forwards no bytes.  */
void relay_conn_start (struct ev_loop *loop, delay_line_t *delay_line,
                       int accepted_fd, const struct sockaddr_in *target,
                       bool stalled, list_node_t *list);
/* Closes and frees each connection in LIST.  */
void relay_conn_close_all (list_node_t *list);
/* Stops forwarding for good on each connection in LIST.  */
void relay_conn_stall_all (list_node_t *list);

#endif
