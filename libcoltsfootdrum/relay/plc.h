/* Where a request goes: a choice among endpoints, from plain figures.

   Load pattern: long prompts before many short ones, on engines that admit in
   order of arrival.  What is sent to an engine waits behind all prompts that
   it has still to read, so that a request goes where its first token comes in
   time, and waits here while that is nowhere.  Prompts that share a beginning
   stay together while that costs little: each engine that reads the beginning
   anew loses the time of reading, and the memory to keep it.  */

#ifndef RELAY_PLC_H
#define RELAY_PLC_H

#include <glib.h>
#include <stdbool.h>

typedef struct
{
  unsigned active;        /* requests that run there, of all routers */
  unsigned slots;         /* requests that may */
  double pending_prefill; /* reading work sent there and not done yet */
  double own_prefill;     /* reading work of this request there */
  double
      missing_tokens; /* tokens of the shared beginning that it doesn't keep */
  double fetch_ms;    /* to copy what it lacks of a cached prefix */
  double context_tokens;     /* tokens in memory by requests that run */
  double kv_capacity_tokens; /* tokens that it can hold; 0: not told */
  bool is_home;       /* where prompts with this beginning go by choice */
  bool in_other_zone; /* in another availability zone */
} plc_endpoint_t;

typedef struct
{
  double base_ms;         /* until the first token with nothing to be read */
  double ms_per_token;    /* and for each unit of reading work */
  double time_left_ms;    /* until the first token is late */
  double max_queueing_ms; /* of others' reading before its own */
  double
      capacity_share;   /* of slots and memory, up to which it may fill them */
  double needed_tokens; /* tokens that it will hold in memory */
  double max_missing_tokens; /* of the shared beginning, where it may go */
  double other_zone_cost_ms; /* what another availability zone is as bad as */
  double tie_break;          /* from 0 to 1, breaks ties */
} plc_request_t;

/* Work of reading a prompt of TOKENS of which KEPT are there already, in
   tokens: each is read together with all before it.  */
double plc_compute_prefill_work (double tokens, double cached);

/* Milliseconds until the first token of REQUEST at ENDPOINT.  */
double plc_estimate_first_token_ms (const plc_endpoint_t *endpoint,
                                    const plc_request_t *request);

/* Whether some of COUNT endpoints may have room for REQUEST, whatever they
   cache: false says that plc_choose would find none.  */
bool plc_has_candidate (const plc_endpoint_t *endpoints, guint count,
                        const plc_request_t *request);

/* Index of the chosen one of COUNT endpoints; -1 when it has to wait.  */
int plc_choose_endpoint (const plc_endpoint_t *endpoints, guint count,
                         const plc_request_t *request);

#endif
