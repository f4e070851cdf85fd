/* The endpoints that requests may go to: what the platform reports of each,
   what this router has under way there, and what the other routers say they
   have.  */

#ifndef RELAY_EDP_H
#define RELAY_EDP_H

#include "base/clock.h"
#include "base/list.h"
#include "relay/ups.h"

/* What the platform says of one endpoint.  */
typedef struct
{
  char *id;
  char *service;
  char *address; /* IP:PORT */
  char *zone;
  unsigned slots;     /* requests that it runs at once; 0: not told */
  bool leaving;       /* takes no new work */
  int64_t started_ms; /* wall time of its start; 0: not told */
  int64_t cold_ms;    /* how much longer it is cold */
} edp_report_t;

void edp_report_free (edp_report_t *report);

typedef struct
{
  list_node_t node;
  edp_report_t *report;
  uint64_t hash; /* of its id and start */
  ups_t *ups;
  bool withdrawn;            /* its availability zone is out of service */
  cfd_time_t unlisted_since; /* CFD_TIME_NEVER while it is listed */
  cfd_time_t cold_until;
  double cold_tokens; /* token bucket of the warm-up rate limit */
  unsigned cold_rank; /* of this router among those that share its rate */
  cfd_time_t cold_refilled_at;

  unsigned active;      /* requests of this router that run there */
  double unread;        /* reading work of those with no answer yet */
  double context;       /* tokens that those hold in memory, about */
  unsigned peer_active; /* the same of the other routers */
  double peer_pending_prefill;
  double peer_context_tokens;
  bool has_peer_totals; /* the sums of the other routers' figures stand */

  bool changed; /* the figures of this router, since others were told */
  cfd_time_t backoff_until; /* gets nothing new until then */
  unsigned failures;        /* in a row */
  cfd_time_t full_until;    /* the same: it gave requests back */
  unsigned given_back;      /* in a row */
  cfd_time_t heard;         /* an answer's bytes came */
} edp_t;

typedef struct edp_set edp_set_t;

edp_set_t *edp_set_new (struct ev_loop *loop);
void edp_set_free (edp_set_t *set);

/* Takes in the whole list REPORTS (edp_report_t, taken over).  An endpoint
   that it lacks is gone when the list is SETTLED; else it stays for now, for
   after an outage of the platform live endpoints take some time to report
   again.  */
void edp_set_update (edp_set_t *set, cfd_time_t now, GPtrArray *reports,
                     bool settled, int64_t cold_ms);

/* Availability zones out of service; names are copied.  */
void edp_set_withdraw_zones (edp_set_t *set, const char *const *zones);

/* Frees endpoints that are gone and have nothing under way.  Never call it
   from a callback of an exchange.  */
void edp_set_sweep (edp_set_t *set, cfd_time_t now);

list_node_t *edp_set_endpoints (edp_set_t *set);
edp_t *edp_set_find (edp_set_t *set, const char *id);
edp_t *edp_set_find_by_hash (edp_set_t *set, uint64_t hash);
guint edp_set_count (const edp_set_t *set);
/* Some endpoint is used though the platform's list lacks it.  */
bool edp_set_has_unlisted (const edp_set_t *set);

/* New work may go to it now, as far as its state says.  */
bool edp_is_open (const edp_t *edp, cfd_time_t now);

/* A cold endpoint takes few requests a second, of all routers together, and
   crashes well above.  PER_S is this router's part.  True when it takes one
   now; always when it is warm.  */
bool edp_allows_request (edp_t *edp, cfd_time_t now, double per_s);
/* One was sent.  */
void edp_count_cold_request (edp_t *edp, cfd_time_t now);

/* An exchange with it failed, or went well.  */
void edp_record_failure (edp_t *edp, cfd_time_t now);
void edp_record_success (edp_t *edp, cfd_time_t now);
/* It gave a request back, for it has no room; or it took one.  */
void edp_record_rejection (edp_t *edp, cfd_time_t now);
void edp_record_acceptance (edp_t *edp);

#endif
