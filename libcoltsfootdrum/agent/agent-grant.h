/* Grant eligibility: whether this agent may grant a slot, and start the
   request that is assigned to the grant.  Pure: computes the reason from a
   grant_state_t alone.  */

#ifndef AGENT_AGENT_GRANT_H
#define AGENT_AGENT_GRANT_H

#include <stdbool.h>
#include <stdint.h>

/* Consecutive stale declines after which a grant carries no limit, so that a
   slot is filled in the end.  The agent extrapolates virtual times over the
   round trip.  That is usually accurate enough, but not after a sudden change
   of rate.  A small number costs fairness: it accepts stale choices under
   ordinary load.  */
#define AGENT_MAX_STALE_DECLINES 16u

/* When the newest known contact with the platform is this old, no connected
   peer has a newer one: an agent asks a peer after 4 s
   (SPREAD_ASK_PEER_AFTER_MS), and by then the witness routers of other zones
   (config/witness.h) have connected.  */
#define AGENT_STALE_PLATFORM_MS 5000u

typedef enum
{
  GRANT_ALLOWED,
  GRANT_DRAINING,   /* the agent is shutting down */
  GRANT_NO_RECORD,  /* no record of the endpoint or its service */
  GRANT_LEAVING,    /* the endpoint is leaving */
  GRANT_ZONE_OUT,   /* operators took the zone out of service */
  GRANT_SETTLING,   /* requests of a previous process may run on */
  GRANT_JUST_WOKEN, /* suspended; its configuration may be old */
  GRANT_BEHIND,     /* a peer has newer configuration */
  GRANT_CUT_OFF,    /* neither platform nor enough routers reached */
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
  unsigned routers_connected; /* known routers whose link is up */
  uint32_t platform_age_ms;   /* since the newest known platform contact */
  unsigned zones_known;     /* zones of routers in the platform's last list */
  unsigned zones_connected; /* zones of the connected routers */
  bool is_ejected;          /* and its backoff is not over */
} grant_state_t;

grant_reason_t agent_evaluate_grant (const grant_state_t *state);
const char *grant_reason_name (grant_reason_t reason);

#endif
