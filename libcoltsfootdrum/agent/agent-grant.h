/* Whether this agent may offer a slot, and start what answers the offer.
   Pure: plain state in, a typed reason out.  */

#ifndef AGENT_AGENT_GRANT_H
#define AGENT_AGENT_GRANT_H

#include <stdbool.h>
#include <stdint.h>

/* Stale declines in a row after which a grant carries no limit, so that a slot
   is filled in the end whatever the agent's knowledge is worth: carried
   forward by the round trip it is good enough as a rule, but not after a
   sudden change of pace.  A small number costs fairness: it lets stale
   choices through in ordinary load.  */
#define AGENT_MAX_STALE_DECLINES 16u

/* Word of the platform so old that nobody in hearing can have it: an agent
   asks for younger word after 4 s (SPREAD_ASK_PEER_AFTER_MS), and the
   witnesses of other zones (config/witness.h) have called by then.  */
#define AGENT_STALE_PLATFORM_MS 5000u

typedef enum
{
  GRANT_ALLOWED,
  GRANT_DRAINING,   /* this agent is shutting down */
  GRANT_NO_RECORD,  /* no record of the endpoint or its service */
  GRANT_LEAVING,    /* the endpoint is leaving */
  GRANT_ZONE_OUT,   /* operators took the zone out of service */
  GRANT_SETTLING,   /* what a former life gave the engine may still run */
  GRANT_JUST_WOKEN, /* stopped a while; its configuration may be old */
  GRANT_BEHIND,     /* a peer has newer configuration than this agent */
  GRANT_CUT_OFF,    /* neither the platform nor most routers are heard */
  GRANT_EJECTED     /* the endpoint fails; backoff */
} grant_reason_t;

typedef struct
{
  bool is_draining;
  bool has_endpoint;
  bool has_service;
  bool is_leaving;
  bool is_zone_out;
  bool is_settling;
  bool is_config_unconfirmed;
  bool is_behind;
  bool is_platform_up;
  unsigned routers_known;
  unsigned routers_connected; /* of those known, in the last few seconds */
  uint32_t platform_age_ms;   /* since anyone in hearing heard the platform */
  unsigned zones_known;       /* with a router, by the platform's last list */
  unsigned zones_connected;   /* of the routers heard */
  bool is_ejected;            /* and its backoff is not over */
} grant_state_t;

grant_reason_t agent_evaluate_grant (const grant_state_t *state);
const char *grant_reason_name (grant_reason_t reason);

#endif
