/* What happens to the fleet of a run: a part of it is cut off and rejoins, or
   its homes die, the platform is down, an operator takes a zone out, or an
   engine turns slow.  */

#include "measure.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define EVENT_ZONE_INDEX 1u
#define CUT_SIDE 1u
/* Routers that are killed: one in so many, at least one.  */
#define KILLED_PART 4u
#define KILL_MS 2000
#define SLOW_ENDPOINT 1u

struct event
{
  event_kind_t kind;
  fleet_t *fleet;
  unsigned *zones;   /* side of each */
  unsigned *routers; /* side of each */
};

static const char *const names[]
    = { "zone", "partition", "region", "home", "platform", "slow" };

bool
measure_event_parse (const char *name, event_kind_t *kind)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (names); i++)
    if (strcmp (name, names[i]) == 0)
      {
        *kind = (event_kind_t)i;
        return true;
      }
  return false;
}

event_t *
event_new (event_kind_t kind, fleet_t *fleet)
{
  event_t *event = g_new0 (event_t, 1);

  event->kind = kind;
  event->fleet = fleet;
  event->zones = g_new0 (unsigned, fleet_get_plan (fleet)->zones);
  event->routers
      = g_new0 (unsigned, fleet_count_members (fleet, FLEET_ROUTER));
  return event;
}

void
event_free (event_t *event)
{
  g_free (event->zones);
  g_free (event->routers);
  g_free (event);
}

unsigned
event_get_zone (const event_t *event)
{
  return EVENT_ZONE_INDEX;
}

const unsigned *
event_get_router_sides (const event_t *event)
{
  return event->routers;
}

const unsigned *
event_get_zone_sides (const event_t *event)
{
  return event->zones;
}

static bool
set_zone (const event_t *event, const char *state)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *name = g_strdup_printf ("zone-%u", EVENT_ZONE_INDEX);
  g_autofree char *spec = g_strdup_printf (
      "{\"schema\":2,\"state\":\"%s\",\"region\":\"r\"}", state);

  if (fleet_put_object (event->fleet, "availability-zone", name, spec, &error))
    return true;
  fprintf (stderr, "measure: %s\n", error->message);
  return false;
}

/* ---- partitions ---- */

static bool
set_apart (const event_t *event, bool apart)
{
  bool parted = fleet_set_partition (event->fleet, event->zones, apart);

  return fleet_set_platform_partition (event->fleet, event->zones, CUT_SIDE,
                                       apart)
         && parted;
}

static bool
cut_off (event_t *event, bool (*is_cut) (const event_t *, unsigned zone))
{
  for (unsigned i = 0; i < fleet_get_plan (event->fleet)->zones; i++)
    event->zones[i] = is_cut (event, i) ? CUT_SIDE : 0;
  for (unsigned i = 0; i < fleet_count_members (event->fleet, FLEET_ROUTER);
       i++)
    event->routers[i]
        = event->zones[fleet_get_zone (event->fleet, FLEET_ROUTER, i)];
  return set_apart (event, true);
}

static bool
is_event_zone (const event_t *event, unsigned zone)
{
  return zone == EVENT_ZONE_INDEX;
}

static bool
is_second_region (const event_t *event, unsigned zone)
{
  return fleet_get_region (event->fleet, zone) > 0;
}

/* ---- homes ---- */

static unsigned
greatest_home (const event_t *event)
{
  unsigned found = 0;
  double most = -1;

  for (unsigned i = 0; i < fleet_count_members (event->fleet, FLEET_ROUTER);
       i++)
    {
      double homed = fleet_sum_metric (event->fleet, FLEET_ROUTER, i,
                                       "cfd_router_accounts{side=\"home\"}");
      if (event->routers[i] == CUT_SIDE || homed <= most)
        continue;
      most = homed;
      found = i;
    }
  return found;
}

static bool
kill_homes (event_t *event)
{
  unsigned routers = fleet_count_members (event->fleet, FLEET_ROUTER);

  for (unsigned i = 0; i < MAX (routers / KILLED_PART, 1); i++)
    {
      unsigned victim = greatest_home (event);
      event->routers[victim] = CUT_SIDE;
      if (!proc_stop (fleet_get_process (event->fleet, FLEET_ROUTER, victim),
                      SIGKILL, KILL_MS))
        return false;
    }
  return true;
}

static bool
start_homes (const event_t *event)
{
  g_autoptr (GError) error = NULL;

  for (unsigned i = 0; i < fleet_count_members (event->fleet, FLEET_ROUTER);
       i++)
    {
      if (event->routers[i] != CUT_SIDE
          || proc_restart (fleet_get_processes (event->fleet),
                           fleet_get_process (event->fleet, FLEET_ROUTER, i),
                           &error))
        continue;
      fprintf (stderr, "measure: %s\n", error->message);
      return false;
    }
  return true;
}

/* ---- the platform ---- */

static bool
set_platform (const event_t *event, const char *spec)
{
  g_autofree char *base = fleet_get_url (event->fleet, FLEET_PLATFORM, 0);
  g_autofree char *url = g_strconcat (base, "/control/faults", NULL);
  long status = 0;

  g_free (proc_send_http ("PUT", url, NULL, spec, &status));
  return status == 200;
}

/* ---- a slow engine ---- */

static bool
set_slow (const event_t *event, const char *spec)
{
  g_autofree char *base
      = fleet_get_url (event->fleet, FLEET_ENDPOINT, SLOW_ENDPOINT);
  g_autofree char *url = g_strconcat (base, "/control", NULL);
  long status = 0;

  g_free (proc_send_http ("PUT", url, NULL, spec, &status));
  return status == 200;
}

unsigned
event_get_slow_endpoint (const event_t *event)
{
  return SLOW_ENDPOINT;
}

/* ---- all ---- */

bool
event_begin (event_t *event)
{
  switch (event->kind)
    {
    case EVENT_ZONE:
      return set_zone (event, "out");
    case EVENT_PARTITION:
      return cut_off (event, is_event_zone);
    case EVENT_REGION:
      return cut_off (event, is_second_region);
    case EVENT_HOME:
      return kill_homes (event);
    case EVENT_PLATFORM:
      return set_platform (event, "{\"mode\":\"down\"}");
    case EVENT_SLOW:
      return set_slow (event, "{\"slow\":4}");
    }
  return false;
}

bool
event_end (event_t *event)
{
  switch (event->kind)
    {
    case EVENT_ZONE:
      return set_zone (event, "in");
    case EVENT_PARTITION:
    case EVENT_REGION:
      return set_apart (event, false);
    case EVENT_HOME:
      return start_homes (event);
    case EVENT_PLATFORM:
      return set_platform (event, "{\"mode\":\"up\"}");
    case EVENT_SLOW:
      return set_slow (event, "{\"slow\":1}");
    }
  return false;
}

double
event_max_gap (const event_t *event, const GPtrArray *samples,
               unsigned accounts, int64_t from_us, int64_t to_us)
{
  double most = 0;

  for (unsigned side = 0; side <= CUT_SIDE; side++)
    {
      g_autoptr (GPtrArray) part
          = fair_filter_side (samples, event->routers, side, accounts);
      fair_gap_t gap
          = fair_gap (part, FAIR_RECEIVED, accounts, from_us, to_us);
      fprintf (stderr, "gap within side %u: %.0f, account-%u and account-%u\n",
               side, gap.tokens, gap.a, gap.b);
      most = MAX (most, gap.tokens);
    }
  return most;
}
