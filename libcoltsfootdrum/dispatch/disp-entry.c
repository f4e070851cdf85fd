/* The waiting work of one account at a router: its fan-out, the agents that
   need an update, and when that is checked.  */

#include "dispatch/disp-private.h"

#include <string.h>

entry_t *
disp_entry_new (const service_t *service, const char *account, order_t order,
                cfd_time_t now)
{
  entry_t *entry = g_new0 (entry_t, 1);

  entry->account = g_strdup (account);
  entry->views = g_array_new (false, true, sizeof (view_t));
  entry->last_served = now;
  entry->due = CFD_TIME_NEVER;
  entry->order = order;
  order_set_count (&entry->order, service->agents->len);
  return entry;
}

void
disp_entry_free (gpointer data)
{
  entry_t *entry = data;

  g_free (entry->account);
  g_array_unref (entry->views);
  g_free (entry);
}

static view_t *
view_at (const entry_t *entry, unsigned rank)
{
  return &g_array_index (entry->views, view_t, rank);
}

static agent_t *
agent_at (const service_t *service, const entry_t *entry, unsigned rank)
{
  return service->agents->pdata[order_index_at (&entry->order, rank)];
}

void
disp_entry_reset_ranks (const service_t *service, entry_t *entry)
{
  order_set_count (&entry->order, service->agents->len);
  entry->fanout = MIN (entry->fanout, service->agents->len);
  g_array_set_size (entry->views, entry->fanout);
  for (guint rank = 0; rank < entry->fanout; rank++)
    *view_at (entry, rank) = view_unknown;
}

/* ---- updates ---- */

/* An account that falls behind is announced at once: to the agents it looks as
   well served as the others, so they would pass it over until the next
   refresh.  */
static bool
is_any_view_behind (const service_t *service, const entry_t *entry,
                    cfd_time_t now)
{
  double tokens_per_ms = vt_rate_tokens_per_ms (&service->vt_rate);

  for (guint rank = 0; rank < entry->views->len; rank++)
    if (view_is_behind (view_at (entry, rank), entry->waiting.virtual_time,
                        tokens_per_ms, now))
      return true;
  return false;
}

cfd_time_t
disp_entry_update (service_t *service, entry_t *entry,
                   const msg_waiting_t *waiting, cfd_time_t now)
{
  uint32_t previous_count = entry->waiting.count;

  if (previous_count > 0)
    vt_rate_update (&service->vt_rate,
                    waiting->virtual_time - entry->waiting.virtual_time,
                    now - entry->vt_updated);
  entry->waiting = *waiting;
  entry->waiting.account = entry->account;
  entry->vt_updated = now;
  entry->oldest_enqueued = now - waiting->oldest_ms;
  if (waiting->count < previous_count)
    entry->last_served = now;
  if (waiting->count == 0)
    return now + DISP_WITHDRAWAL_DELAY_MS;
  if (previous_count == 0)
    return now;
  if (is_any_view_behind (service, entry, now))
    return MAX (now, entry->last_sent + DISP_CORRECTION_INTERVAL_MS);
  return CFD_TIME_NEVER;
}

void
disp_entry_record_answer (const service_t *service, const entry_t *entry,
                          const char *agent, const msg_waiting_t *left,
                          cfd_time_t now)
{
  for (guint rank = 0; rank < entry->views->len; rank++)
    {
      view_t *view = view_at (entry, rank);

      /* An agent ignores the numbers of an account that was not announced
         to it.  */
      if (view->has_work
          && strcmp (agent_at (service, entry, rank)->name, agent) == 0)
        view_update (view, left, now);
    }
}

/* ---- recipients and schedule ---- */

/* Returns the fan-out that includes REACHABLE_TARGET agents that are not
   suspect.  Without this, new work whose few first agents are gone would wait
   for the next widening, again and again until the platform's list drops them.
   The fan-out is bounded, so that a router that lost all links does not dial
   the whole fleet at once.  */
static unsigned
compute_fanout (const service_t *service, const entry_t *entry,
                unsigned reachable_target, cfd_time_t now)
{
  unsigned max_fanout = MIN (reachable_target * DISP_MAX_CANDIDATES_PER_AGENT,
                             service->agents->len);
  unsigned fanout = 0;

  for (unsigned reachable = 0;
       reachable < reachable_target && fanout < max_fanout; fanout++)
    reachable
        += !reach_is_suspect (&agent_at (service, entry, fanout)->reach, now);
  return fanout;
}

/* Sets the number of agents that the work is announced to: at first one for
   each request and at least DISP_INITIAL_AGENTS, then all in a small fleet, or
   twice as many when no agent took it.  An entry that is being served keeps
   its fan-out, since it needed that many agents.  */
static void
update_fanout (const service_t *service, entry_t *entry, cfd_time_t now)
{
  unsigned count = service->agents->len;
  cfd_time_t unserved_ms = now - entry->last_served;

  if (entry->fanout == 0)
    entry->reachable_target = MAX (DISP_INITIAL_AGENTS, entry->waiting.count);
  else if (count <= DISP_SMALL_FLEET_AGENTS)
    entry->reachable_target = count;
  else if (unserved_ms >= DISP_WIDEN_MS && entry->waiting.count > 0)
    {
      entry->reachable_target *= 2;
      entry->last_served = now;
    }
  entry->reachable_target = MIN (entry->reachable_target, count);
  entry->fanout
      = MAX (entry->fanout,
             compute_fanout (service, entry, entry->reachable_target, now));
}

static cfd_time_t
compute_next_due (const service_t *service, const entry_t *entry,
                  cfd_time_t now)
{
  unsigned count = service->agents->len;
  cfd_time_t next_check = now + DISP_CHECK_INTERVAL_MS;

  if (entry->fanout >= count)
    return next_check;
  if (count <= DISP_SMALL_FLEET_AGENTS)
    return now + DISP_SMALL_FLEET_WIDEN_MS;
  return MIN (next_check, entry->last_served + DISP_WIDEN_MS);
}

void
disp_entry_schedule (const service_t *service, entry_t *entry, cfd_time_t now)
{
  if (entry->waiting.count > 0)
    {
      update_fanout (service, entry, now);
      entry->due = compute_next_due (service, entry, now);
    }
  g_array_set_size (entry->views, entry->fanout);
}

/* Returns whether AGENT must be sent ENTRY, which it is at least once each
   REFRESH_MS.  */
static bool
needs_update (const service_t *service, const entry_t *entry,
              const agent_t *agent, unsigned rank, cfd_time_t refresh_ms,
              cfd_time_t now)
{
  if (agent->needs_full)
    return entry->waiting.count > 0;
  return view_needs_update (view_at (entry, rank), &entry->waiting,
                            vt_rate_tokens_per_ms (&service->vt_rate),
                            refresh_ms, now);
}

void
disp_entry_mark_recipients (const service_t *service, const entry_t *entry,
                            bool due, cfd_time_t now)
{
  for (unsigned rank = 0; rank < entry->fanout; rank++)
    {
      agent_t *agent = agent_at (service, entry, rank);

      agent->needs_update |= (due || agent->needs_full)
                             && needs_update (service, entry, agent, rank,
                                              service->refresh_ms, now);
    }
}

void
disp_entry_append_updates (const service_t *service, entry_t *entry,
                           cfd_time_t now)
{
  msg_waiting_t waiting = entry->waiting;
  cfd_time_t refresh_ms = service->refresh_ms - DISP_EARLY_REFRESH_MS;

  waiting.oldest_ms = (uint32_t)(now - entry->oldest_enqueued);
  for (unsigned rank = 0; rank < entry->fanout; rank++)
    {
      agent_t *agent = agent_at (service, entry, rank);

      if (!agent->needs_update
          || !needs_update (service, entry, agent, rank, refresh_ms, now))
        continue;
      g_array_append_val (agent->entries, waiting);
      view_update (view_at (entry, rank), &waiting, now);
      entry->last_sent = now;
    }
}
