/* State that the relay's files share.  */

#ifndef RELAY_RLY_PRIVATE_H
#define RELAY_RLY_PRIVATE_H

#include "admin/prom.h"
#include "base/list.h"
#include "relay/bud.h"
#include "relay/fit.h"
#include "relay/mech.h"
#include "relay/pfx.h"
#include "relay/plc.h"
#include "relay/rly.h"
#include "relay/evs.h"

typedef struct
{
  list_node_t node;
  char *name;
  bud_t repeats;
  fit_t first_token;      /* milliseconds by the reading work before it */
  prom_hist_t wait;       /* from the arrival until it was sent */
  prom_hist_t first_byte; /* until the first byte of a success */
  prom_hist_t whole;      /* until a success was whole */
  list_node_t lines;      /* rly_line_t with requests that wait */
  unsigned waiting;
  bool due;        /* something may have found room in this turn of the loop */
  unsigned rounds; /* of placement, since the start */
} rly_service_t;

/* The waiting requests of one account at one service.  */
typedef struct
{
  list_node_t node;
  rly_service_t *service;
  char *account;
  list_node_t requests; /* the most urgent first, then the oldest */
  double use;           /* of the account, as of this round */
  double allowed;       /* part of the usual room that it may use */
  double late_allowed;  /* and its requests that are late already */
  bool behind;          /* its account got far less than it is due */
  bool passed;          /* its first request found no room this round */
} rly_line_t;

struct rly
{
  struct ev_loop *loop;
  rly_names_t names;
  rly_settings_t bounds;
  edp_set_t *endpoints;
  use_t *use;
  pfx_t *pfx; /* not owned */
  ret_t *ret; /* not owned */
  lag_t *lag; /* not owned; may be NULL */
  rte_table_t *table;
  list_node_t services; /* rly_service_t */
  list_node_t running;  /* rly_request_t */
  rly_counts_t counts;
  unsigned routers;
  bool closed; /* takes no new requests */
  ev_prepare turn;
  cfd_time_t swept;
  cfd_time_t levelled;
};

/* An answer on its way back.  */
typedef struct
{
  unsigned status;
  GString *fields; /* finished lines for the caller */
  GString *body;   /* gathered, or events not passed on yet */
  evs_t events;
  bool stream;  /* passed on as it comes */
  bool not_run; /* the endpoint gave the request back */
  bool sound;   /* the head may be passed on */
  bool framed;  /* the end is known before the connection's */
} rly_answer_t;

typedef struct
{
  list_node_t node; /* in a line, or in running */
  rly_t *rly;
  ent_call_t *call;
  rte_table_t *table;
  const rte_route_t *route;
  rly_service_t *service;
  rly_line_t *line;             /* while it waits */
  const rte_account_t *account; /* NULL on open routes */
  char *id;
  uint64_t key;         /* by which it is known when it comes again; 0: none */
  pfx_prompt_t *prompt; /* NULL for plain services */
  double output;        /* tokens expected */
  double cost;          /* in the unit of accounts' shares */
  bool charged;         /* to its account */
  bool ran;             /* an endpoint began to answer it */

  cfd_time_t since;    /* its arrival */
  cfd_time_t asked;    /* its caller's first try, as far as can be told */
  cfd_time_t deadline; /* the caller's */
  cfd_time_t timeout;  /* the route's */
  int64_t target_latency_ms; /* an answer that begins later is late */
  cfd_time_t until;          /* it is refused when it still waits then */
  bool late;                 /* its caller came again, too late for the aim */
  unsigned queued;           /* rounds of placement before it began to wait */
  unsigned tries;            /* sends, and connections that failed */
  unsigned attempts;         /* endpoints that may have got it */
  char *last_failed;         /* id of the endpoint that failed it last */

  edp_t *edp; /* while it runs */
  ups_exchange_t *exchange;
  cfd_time_t sent_at;
  double ahead;      /* reading work before its first token */
  double unread;     /* its own part of that, until the first byte */
  double context;    /* tokens that it holds in memory */
  double fetch_ms;   /* for its cached prefix to be copied there */
  bool began;        /* the caller has got the head */
  bool may_have_run; /* an endpoint got it and did not give it back */
  bool held;         /* the answer is not read on: its caller is behind */
  rly_answer_t answer;
} rly_request_t;

/* rly.c */
rly_service_t *rly_service (rly_t *rly, const char *name);
/* The mechanism is not switched off.  */
bool rly_has (const rly_t *rly, mech_t mechanism);
const char *rly_account_name (const rly_request_t *request);
/* Ends REQUEST; its call must have been answered or gone.  */
void rly_request_free (rly_request_t *request);

/* rly-queue.c: waiting.  */
void rly_wait (rly_request_t *request);
/* REQUEST, which just came, can't be in time behind those of its account that
   wait: it is refused now, and true is returned.  */
bool rly_refuse_early (rly_request_t *request, cfd_time_t now);
void rly_unwait (rly_request_t *request);
/* Places what finds room.  */
void rly_pump (rly_t *rly, rly_service_t *service, cfd_time_t now);
/* Refuses what waited too long.  */
void rly_expire (rly_service_t *service, cfd_time_t now);

/* rly-place.c: one round of placement.  */
#define RLY_ENDPOINTS_MOST 256

typedef struct
{
  rly_t *rly;
  rly_service_t *service;
  const rte_service_t *terms; /* NULL when the configuration lacks it */
  cfd_time_t now;
  double base_ms; /* the service's first tokens */
  double ms_per_work;
  bool has_room; /* some endpoint has a free slot */
  guint count;
  edp_t *edps[RLY_ENDPOINTS_MOST];
  plc_endpoint_t figures[RLY_ENDPOINTS_MOST];
  double cached[RLY_ENDPOINTS_MOST]; /* tokens of the present prompt */
  guint source; /* the endpoint that caches most of them */
} rly_round_t;

/* Of the aim, a request of a plain service may wait here for so long.  */
#define RLY_PLAIN_PATIENCE 0.65
/* And one whose prompt takes all of it to be read, for so long.  */
#define RLY_LONG_PATIENCE 0.25

void rly_round_begin (rly_round_t *round, rly_t *rly, rly_service_t *service,
                      cfd_time_t now);
/* Sends REQUEST where it finds room; false when it has to wait.  */
bool rly_round_place (rly_round_t *round, rly_request_t *request);
/* How long REQUEST may wait from its arrival, in milliseconds: until its
   prompt, read at once where its beginning is kept, would come too late.  */
int64_t rly_longest_wait (const rly_request_t *request);

/* rly.c: a pump of SERVICE at the end of this turn of the loop.  */
void rly_pump_later (rly_service_t *service);

/* rly-send.c: one exchange with an endpoint.  */
/* SOURCE, unless NULL, is where EDP copies the cached prefix from.  */
bool rly_send (rly_request_t *request, edp_t *edp, const edp_t *source,
               cfd_time_t now);
/* Takes REQUEST off its endpoint; CANCEL closes the connection.  */
void rly_leave (rly_request_t *request, bool cancel);
/* Time-outs of REQUEST while it runs.  */
void rly_check_running (rly_request_t *request, cfd_time_t now);

/* rly-answer.c: what the caller gets.  */
void rly_refuse (rly_request_t *request, cfd_time_t now, const char *reason,
                 int64_t retry_ms);
void rly_fail (rly_request_t *request, unsigned status, const char *reason);
void rly_answer_reset (rly_answer_t *answer);
void rly_answer_clear (rly_answer_t *answer);
void rly_take_head (rly_request_t *request, rd_head_t *head);
void rly_take_body (rly_request_t *request, const char *bytes, size_t length);
void rly_take_end (rly_request_t *request, ups_end_t end, cfd_time_t now);

#endif
