/* The work of one account at a router: how many agents hear of it, which must
   hear again, and when that is looked at.  */

#include "dispatch/disp-private.h"

#include <string.h>

entry_t *
disp_entry_new (const service_t *service, const char *account, order_t order,
                cfd_time_t now)
{
  entry_t *entry = g_new0 (entry_t, 1);

  entry->account = g_strdup (account);
  entry->beliefs = g_array_new (false, true, sizeof (belief_t));
  entry->served = now;
  entry->due = CFD_TIME_NEVER;
  entry->order = order;
  order_fit (&entry->order, service->agents->len);
  return entry;
}

void
disp_entry_free (gpointer data)
{
  entry_t *entry = data;

  g_free (entry->account);
  g_array_unref (entry->beliefs);
  g_free (entry);
}

static belief_t *
belief_at (const entry_t *entry, unsigned rank)
{
  return &g_array_index (entry->beliefs, belief_t, rank);
}

static agent_t *
agent_at (const service_t *service, const entry_t *entry, unsigned rank)
{
  return service->agents->pdata[order_at (&entry->order, rank)];
}

void
disp_entry_forget_ranks (const service_t *service, entry_t *entry)
{
  order_fit (&entry->order, service->agents->len);
  entry->width = MIN (entry->width, service->agents->len);
  g_array_set_size (entry->beliefs, entry->width);
  for (guint rank = 0; rank < entry->width; rank++)
    *belief_at (entry, rank) = belief_unknown;
}

/* ---- news ---- */

/* An account that falls behind would be passed over until the next refresh,
   for it looks as well served as the others; the agents are told at once.  */
static bool
is_behind (const service_t *service, const entry_t *entry, cfd_time_t now)
{
  double pace = pace_of (&service->pace);

  for (guint rank = 0; rank < entry->beliefs->len; rank++)
    if (belief_is_behind (belief_at (entry, rank), entry->waiting.virtual_time,
                          pace, now))
      return true;
  return false;
}

cfd_time_t
disp_entry_take (service_t *service, entry_t *entry,
                 const msg_waiting_t *waiting, cfd_time_t now)
{
  uint32_t former = entry->waiting.count;

  if (former > 0)
    pace_learn (&service->pace,
                waiting->virtual_time - entry->waiting.virtual_time,
                now - entry->heard);
  entry->waiting = *waiting;
  entry->waiting.account = entry->account;
  entry->heard = now;
  entry->oldest = now - waiting->oldest_ms;
  if (waiting->count < former)
    entry->served = now;
  if (waiting->count == 0)
    return now + DISP_WITHDRAWAL_DELAY_MS;
  if (former == 0)
    return now;
  if (is_behind (service, entry, now))
    return MAX (now, entry->told + DISP_CORRECTION_INTERVAL_MS);
  return CFD_TIME_NEVER;
}

void
disp_entry_answered (const service_t *service, const entry_t *entry,
                     const char *agent, const msg_waiting_t *left,
                     cfd_time_t now)
{
  for (guint rank = 0; rank < entry->beliefs->len; rank++)
    {
      belief_t *belief = belief_at (entry, rank);

      /* An agent makes nothing of a word on an account that was not
         announced to it.  */
      if (belief->waits
          && strcmp (agent_at (service, entry, rank)->name, agent) == 0)
        belief_told (belief, left, now);
    }
}

/* ---- who hears, and when ---- */

/* How many agents are told so that WANTED of them are in reach.  Else new work
   whose few first agents are gone would wait for the next widening, again and
   again until the platform's list drops them.  Bounded, so that a router that
   lost all links doesn't dial the whole fleet at once.  */
static unsigned
width_for (const service_t *service, const entry_t *entry, unsigned wanted,
           cfd_time_t now)
{
  unsigned most
      = MIN (wanted * DISP_MAX_CANDIDATES_PER_AGENT, service->agents->len);
  unsigned width = 0;

  for (unsigned reached = 0; reached < wanted && width < most; width++)
    reached
        += !reach_is_doubted (&agent_at (service, entry, width)->reach, now);
  return width;
}

/* Work that nobody took goes to twice as many agents.  One that is served
   keeps its width: so many agents were needed.  */
static void
widen (const service_t *service, entry_t *entry, cfd_time_t now)
{
  unsigned count = service->agents->len;
  cfd_time_t unserved = now - entry->served;

  if (entry->width == 0)
    entry->wanted = MAX (DISP_INITIAL_AGENTS, entry->waiting.count);
  else if (count <= DISP_SMALL_FLEET_AGENTS)
    entry->wanted = count;
  else if (unserved >= DISP_WIDEN_MS && entry->waiting.count > 0)
    {
      entry->wanted *= 2;
      entry->served = now;
    }
  entry->wanted = MIN (entry->wanted, count);
  entry->width
      = MAX (entry->width, width_for (service, entry, entry->wanted, now));
}

static cfd_time_t
next_due (const service_t *service, const entry_t *entry, cfd_time_t now)
{
  unsigned count = service->agents->len;
  cfd_time_t check = now + DISP_CHECK_INTERVAL_MS;

  if (entry->width >= count)
    return check;
  if (count <= DISP_SMALL_FLEET_AGENTS)
    return now + DISP_SMALL_FLEET_WIDEN_MS;
  return MIN (check, entry->served + DISP_WIDEN_MS);
}

void
disp_entry_turn (const service_t *service, entry_t *entry, cfd_time_t now)
{
  if (entry->waiting.count > 0)
    {
      widen (service, entry, now);
      entry->due = next_due (service, entry, now);
    }
  g_array_set_size (entry->beliefs, entry->width);
}

/* Whether AGENT must hear of ENTRY, at the latest REFRESH after the last. */
static bool
must_hear (const service_t *service, const entry_t *entry,
           const agent_t *agent, unsigned rank, cfd_time_t refresh,
           cfd_time_t now)
{
  if (agent->forgot)
    return entry->waiting.count > 0;
  return belief_must_hear (belief_at (entry, rank), &entry->waiting,
                           pace_of (&service->pace), refresh, now);
}

void
disp_entry_find_hearers (const service_t *service, const entry_t *entry,
                         bool due, cfd_time_t now)
{
  for (unsigned rank = 0; rank < entry->width; rank++)
    {
      agent_t *agent = agent_at (service, entry, rank);

      agent->must_hear |= (due || agent->forgot)
                          && must_hear (service, entry, agent, rank,
                                        service->refresh_ms, now);
    }
}

void
disp_entry_gather (const service_t *service, entry_t *entry, cfd_time_t now)
{
  msg_waiting_t waiting = entry->waiting;
  cfd_time_t refresh = service->refresh_ms - DISP_EARLY_REFRESH_MS;

  waiting.oldest_ms = (uint32_t)(now - entry->oldest);
  for (unsigned rank = 0; rank < entry->width; rank++)
    {
      agent_t *agent = agent_at (service, entry, rank);

      if (!agent->must_hear
          || !must_hear (service, entry, agent, rank, refresh, now))
        continue;
      g_array_append_val (agent->entries, waiting);
      belief_told (belief_at (entry, rank), &waiting, now);
      entry->told = now;
    }
}
