/* Definitions shared by the files of this module: edp.c (the platform's list,
   state of each endpoint), edp-cells.c (endpoints of this router's cell),
   edp-cold.c (warm-up), edp-check.c (health checks) and edp-break.c (ends of
   processes).  */

#ifndef RELAY_EDP_PRIVATE_H
#define RELAY_EDP_PRIVATE_H

#include "relay/edp.h"

/* The endpoints of one service.  */
typedef struct
{
  char *name;
  GPtrArray *all;
  GPtrArray *near; /* of this router's cell */
} edp_service_t;

struct edp_set
{
  struct ev_loop *loop;
  list_node_t list;   /* edp_t in use: of this router's cell, or used lately */
  list_node_t others; /* edp_t of other cells */
  list_node_t retired;  /* edp_t no longer in use, until their requests end */
  GHashTable *by_id;    /* id to edp_t, without retired ones */
  GHashTable *by_hash;  /* hash to edp_t, without retired ones */
  GHashTable *services; /* name to edp_service_t */
  unsigned list_number; /* of the list that is being applied */
  guint unlisted;       /* number of endpoints that the last list lacked */
  unsigned cell;
  unsigned cells;
  bool must_divide; /* endpoints came or went, or the cell changed */
  unsigned epoch;   /* see edp_set_get_epoch */
  bool has_new;     /* endpoints came into use, see edp_set_take_new */
  bool has_changed; /* the load on an endpoint, since it was last sent */
  GStrv zones_out;  /* availability zones out of service */
  bool is_verified; /* a list has been current as of a time after the start */
  bool has_suspected;    /* an endpoint may be suspected to be cold */
  bool has_newly_cold;   /* see edp_set_take_newly_cold */
  bool is_list_old;      /* see edp_set_check_health */
  cfd_time_t alerted_at; /* see wrm_alert */
  uint64_t checks_sent;
  unsigned breaks_pending;
  uint64_t ended;                /* processes, see edp_set_count_ended */
  edp_break_callback_t on_break; /* may be NULL */
  void *break_user;
};

/* Largest burst that one router sends to a cold endpoint.  */
#define EDP_COLD_BURST 1.

/* edp-cold.c */
/* Records that EDP is cold for COLD_MS from now on.  Returns whether it wasn't
   known to be cold.  */
bool edp_set_cold (edp_t *edp, cfd_time_t now, int64_t cold_ms,
                   const char *cause);
/* Records that EDP, of SET, may have turned cold by NOW.  */
void edp_suspect_cold (edp_set_t *set, edp_t *edp, cfd_time_t now);
/* Returns how many requests this router sent to EDP in the last one to two
   seconds.  */
unsigned edp_count_recent_sends (const edp_t *edp, cfd_time_t now);
/* Returns this router's requests a second to EDP in that time.  */
double edp_estimate_rate (const edp_t *edp, cfd_time_t now);
/* Records, and logs, EVIDENCE that the process of EDP may have ended and
   another one started in its place.  */
void edp_suspect_ended (edp_t *edp, cfd_time_t now, const char *evidence);
/* Logs that COUNT endpoints are suspected for CAUSE.  */
void edp_log_suspected (const char *cause, unsigned count);

/* edp-check.c */
/* Gives up the health check of EDP, if there is one.  */
void edp_cancel_check (edp_t *edp);
/* Gives up a health check that takes too long.  */
void edp_expire_check (edp_t *edp, cfd_time_t now);

/* edp-break.c */
/* Sets up EDP so that closed connections are noticed.  */
void edp_watch_connections (edp_t *edp);
/* Ends what is pending about EDP, which is no longer listed or is freed.  */
void edp_settle_break (edp_t *edp, bool has_ended, const char *evidence);

/* edp-cells.c */
/* For g_hash_table_new_full.  */
void edp_service_free (void *service);
/* Divides the endpoints anew, if that is necessary.  */
void edp_set_divide (edp_set_t *set);
/* Moves EDP, which is not near, out of the list of used endpoints unless it
   has connections.  */
void edp_set_drop_unused (edp_set_t *set, edp_t *edp);

#endif
