#include "agent/agent-grant.h"

/* An agent that hears neither the platform nor most of its routers may be in
   an island with a few of them, where nobody can learn that a zone was taken
   out: work would go on there for as long as the partition lasts.  With most
   routers in hearing, the one that did learn it is among them or in hearing
   of them, so a platform outage alone stops no work.  An agent that had links
   with the routers of its own zone alone takes these for all, and is not told
   otherwise by their silence; so it counts the zones that it hears too.  */
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
