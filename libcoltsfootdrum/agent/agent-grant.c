#include "agent/agent-grant.h"

/* Whether the agent may be in a network partition with only a few routers,
   where nobody can learn that a zone was taken out of service: work would go
   on there as long as the partition lasts.

   An agent that reaches neither the platform nor at least half of its known
   routers counts as cut off.  With at least half of them connected, a router
   that did learn it is among them or connected to one of them, so a platform
   outage alone stops no work.  An agent whose links were all to routers of its
   own zone takes these for the whole fleet, and no timeout tells it otherwise;
   so the connected zones are counted too.  */
static bool
is_cut_off (const grant_state_t *state)
{
  if (state->is_platform_up)
    return false;
  if (state->routers_connected == 0
      || state->routers_connected * 2 < state->routers_known)
    return true;
  return state->platform_age_ms >= AGENT_STALE_PLATFORM_MS
         && state->zones_connected * 2 < state->zones_known;
}

grant_reason_t
agent_evaluate_grant (const grant_state_t *state)
{
  if (state->is_draining)
    return GRANT_DRAINING;
  if (!state->has_endpoint || !state->has_service)
    return GRANT_NO_RECORD;
  if (state->is_leaving)
    return GRANT_LEAVING;
  if (state->is_zone_out)
    return GRANT_ZONE_OUT;
  if (state->is_settling)
    return GRANT_SETTLING;
  if (state->is_config_unconfirmed)
    return GRANT_JUST_WOKEN;
  if (state->is_behind)
    return GRANT_BEHIND;
  if (is_cut_off (state))
    return GRANT_CUT_OFF;
  if (state->is_ejected)
    return GRANT_EJECTED;
  return GRANT_ALLOWED;
}

const char *
grant_reason_name (grant_reason_t reason)
{
  switch (reason)
    {
    case GRANT_ALLOWED:
      return "may";
    case GRANT_DRAINING:
      return "draining";
    case GRANT_NO_RECORD:
      return "no-record";
    case GRANT_LEAVING:
      return "leaving";
    case GRANT_ZONE_OUT:
      return "zone-out";
    case GRANT_SETTLING:
      return "settling";
    case GRANT_JUST_WOKEN:
      return "just-woken";
    case GRANT_BEHIND:
      return "behind";
    case GRANT_CUT_OFF:
      return "cut-off";
    case GRANT_EJECTED:
      return "ejected";
    }
  return "unknown";
}
