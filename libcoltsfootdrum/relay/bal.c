/* Load balance: rank and room of the zone's routers, and the decision.  */

#include "relay/bal.h"

#include <math.h>

/* Figures of this age count as "no time".  Routers of a cell send theirs every
   100 to 300 ms, so that two may be lost.  */
#define MAX_AGE_MS 1000
/* Interval of decisions: figures don't arrive more often.  */
#define DECISION_MS 100
/* Time constant of the busy share.  It is short compared with the second in
   which readiness by load (relay/rdy.h) reacts.  */
#define SMOOTHING_MS 300.
/* The router leaves when it works for this share of the time or more, for
   LEAVE_MS.  Shorter bursts are lists that were read, which take 160 ms at
   0.068 of a core.  */
#define LEAVE_BUSY 0.75
#define LEAVE_MS 200
/* Figures that arrive later than this after the announcement count as sent
   after it.  The time covers the network and a late loop of the receiver, for
   which a list takes 160 ms at 0.068 of a core.  Routers send their figures
   every 100 ms, or every 300 ms if there are twenty or more, so that a router
   leaves 400 to 600 ms after its announcement if none are lost.  */
#define ANNOUNCE_MS 300
/* A router that returns is heard after this time: the longest interval of
   figures and ANNOUNCE_MS.  */
#define RETURN_STEP_MS 600
/* It returns at this share or below, after the hold time.  */
#define RETURN_BUSY 0.35
/* The hold time doubles each time that the router leaves again within
   RELAPSE_MS of its return after it: the same callers come back.  The platform
   takes about two seconds to notice that a router has left; the least hold
   time leaves some seconds in which callers are moved.  */
#define MIN_HOLD_MS 10000
#define MAX_HOLD_MS 20000
#define RELAPSE_MS 10000
/* The router leaves only if the others have been ready and had time for so
   long.  A zone whose strong routers are nearly full, or whose figures come at
   intervals of more than MAX_AGE_MS, would otherwise make it leave and return
   every second.  */
#define ROOM_MS 1000
/* The platform asks once a second whether a router is ready, and takes it out
   after two negative answers.  A connection that is closed earlier comes back
   to the same router.  */
#define NOTICE_MS 2500
/* A router has one thread.  */
#define MAX_SHARE 1000u
/* Routers with fewer times this router's share count as equally strong.  */
#define MIN_SHARE_RATIO 2u
/* Busy share, in thousandths, up to which a router takes callers of others. */
#define MAX_TAKER_BUSY 800u
/* The router leaves when the others have this many times the time that its
   callers may need, and returns when they have less than its own share.  */
#define MIN_ROOM_RATIO 2u

typedef struct
{
  bal_figures_t figures;
  cfd_time_t received_at; /* CFD_TIME_NEVER: nothing was received */
} neighbor_t;

typedef struct
{
  cfd_time_t announced_at;
} bal_leaving_t;

typedef struct
{
  cfd_time_t since;
  cfd_time_t hold_until;
  cfd_time_t few_since; /* CFD_TIME_NEVER: enough others are ready */
} bal_out_t;

typedef enum
{
  STATE_IN,
  STATE_LEAVING,
  STATE_OUT
} state_kind_t;

typedef struct
{
  state_kind_t kind;
  union
  {
    bal_leaving_t leaving;
    bal_out_t out;
  } u;
} bal_state_t;

struct bal
{
  char *name;
  unsigned share;
  double busy; /* smoothed, 0 to 1 */
  bool is_ready;
  GHashTable *neighbors; /* name to neighbor_t */
  bal_state_t state;
  cfd_time_t busy_since;  /* CFD_TIME_NEVER: not busy */
  cfd_time_t room_since;  /* CFD_TIME_NEVER: the others have no time */
  cfd_time_t returned_at; /* CFD_TIME_NEVER: it was never out */
  bal_zone_t zone;
  bal_reason_t reason;
  int64_t hold_ms;
  cfd_time_t decided_at;
};

bal_t *
bal_new (const char *name, unsigned share)
{
  bal_t *bal = g_new0 (bal_t, 1);

  bal->name = g_strdup (name);
  bal->share = MIN (share, MAX_SHARE);
  bal->neighbors
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  bal->busy_since = CFD_TIME_NEVER;
  bal->room_since = CFD_TIME_NEVER;
  bal->returned_at = CFD_TIME_NEVER;
  bal->reason = BAL_IDLE;
  return bal;
}

void
bal_free (bal_t *bal)
{
  if (bal == NULL)
    return;
  g_hash_table_unref (bal->neighbors);
  g_free (bal->name);
  g_free (bal);
}

void
bal_set_zone (bal_t *bal, const char *const *names)
{
  g_autoptr (GHashTable) before = g_steal_pointer (&bal->neighbors);

  bal->neighbors
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (; *names != NULL; names++)
    {
      const neighbor_t *known = g_hash_table_lookup (before, *names);
      neighbor_t *neighbor = g_new0 (neighbor_t, 1);

      neighbor->received_at = CFD_TIME_NEVER;
      if (known != NULL)
        *neighbor = *known;
      g_hash_table_insert (bal->neighbors, g_strdup (*names), neighbor);
    }
}

void
bal_set_figures (bal_t *bal, cfd_time_t now, const char *name,
                 const bal_figures_t *figures)
{
  neighbor_t *neighbor = g_hash_table_lookup (bal->neighbors, name);

  if (neighbor == NULL)
    return;
  neighbor->figures = *figures;
  neighbor->figures.share = MIN (figures->share, MAX_SHARE);
  neighbor->figures.busy = MIN (figures->busy, 1000u);
  neighbor->received_at = now;
}

static unsigned
get_load (const bal_figures_t *figures)
{
  return figures->share * figures->busy / 1000u;
}

/* Returns the time that a router has left for callers of others.  */
static unsigned
get_room (const bal_figures_t *figures)
{
  if (figures->presence != BAL_READY || figures->busy >= MAX_TAKER_BUSY)
    return 0;
  return figures->share * (MAX_TAKER_BUSY - figures->busy) / 1000u;
}

static bool
is_above (const bal_t *bal, const char *name, unsigned share)
{
  return share != bal->share ? share > bal->share
                             : g_strcmp0 (name, bal->name) > 0;
}

/* Counts a router by what it has reported.  One that is leaving counts as
   ready if this router is out, as it is still in rotation, or if it ranks
   above this one: it doesn't count this one, and gives way if it can't leave
   without.  */
static void
count_presence (const bal_t *bal, bal_zone_t *zone, const neighbor_t *neighbor,
                bool above)
{
  const bal_state_t *state = &bal->state;

  switch (neighbor->figures.presence)
    {
    case BAL_READY:
      zone->ready++;
      zone->confirmed += state->kind == STATE_LEAVING
                         && neighbor->received_at
                                > state->u.leaving.announced_at + ANNOUNCE_MS;
      break;
    case BAL_LEAVING:
      zone->ready += above || state->kind == STATE_OUT;
      break;
    case BAL_OUT:
      zone->out_above += above;
      break;
    }
}

static bal_zone_t
view_zone (const bal_t *bal, cfd_time_t now)
{
  bal_figures_t own = bal_get_figures (bal);
  unsigned listed = g_hash_table_size (bal->neighbors) + 1;
  bal_zone_t zone = { .listed = listed,
                      .required = (listed + 1) / 2,
                      .load = get_load (&own) };
  GHashTableIter each;
  void *name;
  void *data;

  g_hash_table_iter_init (&each, bal->neighbors);
  while (g_hash_table_iter_next (&each, &name, &data))
    {
      const neighbor_t *neighbor = data;
      const bal_figures_t *figures = &neighbor->figures;

      if (neighbor->received_at == CFD_TIME_NEVER
          || now - neighbor->received_at > MAX_AGE_MS || figures->share == 0)
        continue;
      count_presence (bal, &zone, neighbor,
                      is_above (bal, name, figures->share));
      if (figures->share >= bal->share * MIN_SHARE_RATIO)
        zone.room += get_room (figures);
      else
        /* Others of its strength may leave at the same moment.  */
        zone.load += get_load (figures);
    }
  return zone;
}

/* Returns whether enough others are ready and have time for the callers of
   this router, and of those that may leave with it.  Callers may need more
   than the router can do, of which its load tells nothing; so its whole share
   counts at least.  */
static bool
have_others_room (const bal_t *bal)
{
  const bal_zone_t *zone = &bal->zone;

  return zone->ready >= zone->required
         && zone->room >= MAX (zone->load, bal->share) * MIN_ROOM_RATIO;
}

/* Returns since when a condition holds that held since SINCE, or not, and now
   HOLDS.  */
static cfd_time_t
update_since (cfd_time_t since, cfd_time_t now, bool holds)
{
  if (!holds)
    return CFD_TIME_NEVER;
  return MIN (since, now);
}

static bool
has_lasted (cfd_time_t since, cfd_time_t now, int64_t ms)
{
  return since != CFD_TIME_NEVER && now - since >= ms;
}

static void
leave (bal_t *bal, cfd_time_t now)
{
  bool relapsed = bal->reason == BAL_IDLE && bal->returned_at != CFD_TIME_NEVER
                  && now - bal->returned_at <= RELAPSE_MS;

  bal->hold_ms = relapsed ? MIN (2 * bal->hold_ms, MAX_HOLD_MS) : MIN_HOLD_MS;
  bal->reason = BAL_BUSY;
  bal->state.kind = STATE_OUT;
  bal->state.u.out = (bal_out_t){ .since = now,
                                  .hold_until = now + bal->hold_ms,
                                  .few_since = CFD_TIME_NEVER };
}

static void
enter (bal_t *bal, cfd_time_t now, bal_reason_t reason)
{
  bal->reason = reason;
  bal->state.kind = STATE_IN;
  bal->busy_since = CFD_TIME_NEVER;
  bal->room_since = CFD_TIME_NEVER;
  bal->returned_at = now;
}

/* Returns whether the router is busy, and others have time for it.  */
static bool
update_wish (bal_t *bal, cfd_time_t now)
{
  bal->busy_since = update_since (bal->busy_since, now,
                                  bal->busy >= LEAVE_BUSY && bal->is_ready);
  bal->room_since
      = update_since (bal->room_since, now, have_others_room (bal));
  return has_lasted (bal->busy_since, now, LEAVE_MS)
         && has_lasted (bal->room_since, now, ROOM_MS);
}

static void
decide_in (bal_t *bal, cfd_time_t now)
{
  if (!update_wish (bal, now))
    return;
  bal->state.kind = STATE_LEAVING;
  bal->state.u.leaving.announced_at = now;
}

static void
decide_leaving (bal_t *bal, cfd_time_t now)
{
  if (!update_wish (bal, now))
    bal->state.kind = STATE_IN;
  else if (bal->zone.confirmed >= bal->zone.required)
    leave (bal, now);
}

/* Returns whether too few others are ready, not counting those that return
   before this router.  */
static bool
are_few_ready (bal_t *bal, cfd_time_t now)
{
  const bal_zone_t *zone = &bal->zone;
  bal_out_t *out = &bal->state.u.out;
  int64_t steps;

  out->few_since
      = update_since (out->few_since, now, zone->ready < zone->required);
  if (out->few_since == CFD_TIME_NEVER)
    return false;
  steps = (now - out->few_since) / RETURN_STEP_MS;
  return zone->ready + MAX (zone->out_above - steps, 0) < zone->required;
}

static void
decide_out (bal_t *bal, cfd_time_t now)
{
  if (are_few_ready (bal, now))
    enter (bal, now, BAL_FEW);
  else if (bal->zone.room < bal->share)
    enter (bal, now, BAL_FULL);
  else if (now >= bal->state.u.out.hold_until && bal->busy <= RETURN_BUSY)
    enter (bal, now, BAL_IDLE);
}

bool
bal_update (bal_t *bal, cfd_time_t now, const bal_sample_t *sample)
{
  double span_ms = sample->busy_ms + sample->idle_ms;
  bool was_out = bal_is_out (bal);

  if (span_ms > 0.)
    bal->busy += (sample->busy_ms / span_ms - bal->busy)
                 * (1. - exp (-span_ms / SMOOTHING_MS));
  bal->is_ready = sample->is_ready;
  if (bal->share == 0 || now - bal->decided_at < DECISION_MS)
    return false;
  bal->decided_at = now;
  bal->zone = view_zone (bal, now);
  switch (bal->state.kind)
    {
    case STATE_IN:
      decide_in (bal, now);
      break;
    case STATE_LEAVING:
      decide_leaving (bal, now);
      break;
    case STATE_OUT:
      decide_out (bal, now);
      break;
    }
  return bal_is_out (bal) != was_out;
}

bool
bal_is_out (const bal_t *bal)
{
  return bal->state.kind == STATE_OUT;
}

bool
bal_must_close (const bal_t *bal, cfd_time_t now)
{
  return bal_is_out (bal) && now - bal->state.u.out.since >= NOTICE_MS;
}

static bal_presence_t
get_presence (const bal_t *bal)
{
  if (!bal->is_ready)
    return BAL_OUT;
  switch (bal->state.kind)
    {
    case STATE_IN:
      return BAL_READY;
    case STATE_LEAVING:
      return BAL_LEAVING;
    case STATE_OUT:
      return BAL_OUT;
    }
  g_return_val_if_reached (BAL_OUT);
}

bal_figures_t
bal_get_figures (const bal_t *bal)
{
  return (bal_figures_t){ .share = bal->share,
                          .busy = (unsigned)lrint (bal->busy * 1000.),
                          .presence = get_presence (bal) };
}

bal_zone_t
bal_get_zone (const bal_t *bal)
{
  return bal->zone;
}

bal_reason_t
bal_get_reason (const bal_t *bal)
{
  return bal->reason;
}

const char *
bal_get_reason_name (bal_reason_t reason)
{
  switch (reason)
    {
    case BAL_BUSY:
      return "busy";
    case BAL_IDLE:
      return "idle";
    case BAL_FULL:
      return "others-full";
    case BAL_FEW:
      return "few-ready";
    }
  g_return_val_if_reached ("");
}

int64_t
bal_get_hold_ms (const bal_t *bal)
{
  return bal->hold_ms;
}
