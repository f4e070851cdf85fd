/* The callers' side: a listening address, connections, and on each of them one
   call at a time.  A call is handed over once its request was read whole.  */

#ifndef RELAY_ENT_H
#define RELAY_ENT_H

#include "base/clock.h"
#include "relay/lag.h"
#include "relay/rd.h"
#include <ev.h>

typedef struct ent ent_t;
typedef struct ent_call ent_call_t;

/* What a caller may send and how long it may take; 0 is no bound.  */
typedef struct
{
  size_t head_bytes;
  size_t body_bytes;
  int64_t head_ms;
  int64_t idle_ms;
  unsigned connections; /* in all */
} ent_limits_t;

typedef struct
{
  /* CALL stays until it is answered, broken off, or GONE was called.  */
  void (*request) (void *user, ent_call_t *call);
  /* The caller has left; CALL is not to be used again.  */
  void (*gone) (void *user, ent_call_t *call);
} ent_ops_t;

/* NULL with CFD_ERROR_ADDRESS when ADDRESS (IP:PORT) can't be listened on. */
ent_t *ent_new (struct ev_loop *loop, const char *address,
                const ent_ops_t *ops, void *user, GError **error);
void ent_free (ent_t *ent);

/* Since the last call more connections waited than were accepted.  */
bool ent_test_and_clear_backlogged (ent_t *ent);

/* Its time is counted in LAG, which is not owned.  */
void ent_set_lag (ent_t *ent, lag_t *lag);

/* The port that it listens on.  */
unsigned ent_get_port (const ent_t *ent);

void ent_set_limits (ent_t *ent, const ent_limits_t *limits);

/* Answers from now on end their connections.  */
void ent_drain (ent_t *ent);
/* New connections are refused from now on.  */
void ent_close_listener (ent_t *ent);
/* Closes connections without a call.  */
void ent_close_idle (ent_t *ent);
/* To be called some times a second: closes what took too long.  */
void ent_tick (ent_t *ent, cfd_time_t now);
unsigned ent_count_connections (const ent_t *ent);
/* Connections accepted since the start.  */
unsigned ent_count_accepted (const ent_t *ent);

rd_head_t *ent_get_head (ent_call_t *call);
const GByteArray *ent_get_body (const ent_call_t *call);
cfd_time_t
ent_get_start_time (const ent_call_t *call); /* when its first bytes came */
/* The user's own pointer.  */
void ent_set_data (ent_call_t *call, void *data);
void *ent_get_data (const ent_call_t *call);

/* The connection ends with the answer to CALL.  */
void ent_close_after (ent_call_t *call);

/* FIELDS are finished header lines, or NULL.  */
void ent_respond (ent_call_t *call, unsigned status, const char *fields,
                  const void *body, size_t length);

/* An answer in pieces; LENGTH of the whole, or -1.  */
void ent_begin_response (ent_call_t *call, unsigned status, const char *fields,
                         int64_t length);
void ent_send_body (ent_call_t *call, const void *bytes, size_t length);
void ent_finish_response (ent_call_t *call);
/* Closes the connection, so that the answer doesn't look whole.  */
void ent_abort (ent_call_t *call);

/* False when the caller has left, as the system knows already.  */
bool ent_is_client_connected (const ent_call_t *call);

/* Bytes that the caller has not taken yet.  */
size_t ent_get_unsent_bytes (const ent_call_t *call);

#endif
