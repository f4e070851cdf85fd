/* Endpoints: whether the process of an endpoint has ended when exchanges with
   it broke or it closed its connections.

   A single answer may be lost while the endpoint serves others.  A process
   that ends closes all of its connections, and a new one is refused.  */

#include "relay/edp-private.h"

#include "base/log.h"
#include <inttypes.h>

/* Time in which the closing of all connections of an ended process is noticed,
   also by an overloaded event loop.  */
#define CLOSE_MS 100
/* Time for the probe's connection to open.  */
#define PROBE_TIMEOUT_MS 350
/* Endpoints may close connections that were idle for longer.  */
#define MAX_ACTIVE_IDLE_MS 100

/* Called when EDP closed a connection that was idle for IDLE_MS.  */
static void
on_connection_closed (void *user, int64_t idle_ms)
{
  edp_t *edp = user;
  edp_closing_t *closing = &edp->closing;
  cfd_time_t now = clock_now ();

  if (now - closing->first_at > CLOSE_MS)
    *closing = (edp_closing_t){ .first_at = now };
  closing->was_active |= idle_ms < MAX_ACTIVE_IDLE_MS;
  if (closing->was_active
      && !ups_has_connection_from_before (edp->ups, closing->first_at))
    edp_suspect_ended (edp, now, "closed");
}

void
edp_watch_connections (edp_t *edp)
{
  ups_set_closed_callback (edp->ups, on_connection_closed, edp);
}

bool
edp_is_break_pending (const edp_t *edp)
{
  return edp->broken.first_at != CFD_TIME_NEVER;
}

void
edp_settle_break (edp_t *edp, bool has_ended, const char *evidence)
{
  edp_set_t *set = edp->set;
  cfd_time_t first_at = edp->broken.first_at;

  if (!edp_is_break_pending (edp))
    return;
  edp->broken.first_at = CFD_TIME_NEVER;
  con_free (edp->broken.probe);
  edp->broken.probe = NULL;
  set->breaks_pending--;
  set->ended += has_ended;
  if (has_ended)
    log_info ("endpoints",
              "An endpoint ended: endpoint=%s hash=%08" PRIx64
              " service=%s zone=%s evidence=%s active=%u peers=%u.",
              edp->report->id, edp->hash, edp->report->service,
              edp->report->zone, evidence, edp->active, edp->peer_active);
  if (set->on_break != NULL)
    set->on_break (set->break_user, edp, has_ended, first_at);
}

/* Another process may listen under the id of EDP, at any version.  */
static void
forget_version (edp_t *edp)
{
  if (edp->origin != ORG_ANY)
    log_info ("endpoints",
              "The version of an endpoint isn't known until its entry is "
              "renewed: endpoint=%s service=%s version=%s.",
              edp->report->id, edp->report->service,
              edp->report->version != NULL ? edp->report->version : "");
  edp->origin = ORG_ANY;
}

/* No connection survived, and a new one can't be opened.  */
static void
settle_ended (edp_t *edp, const char *evidence)
{
  edp_suspect_ended (edp, clock_now (), evidence);
  edp_settle_break (edp, true, evidence);
}

static void
on_probe_connected (void *user)
{
  edp_settle_break (user, false, "connected");
}

static void
on_probe_bytes (void *user, const char *bytes, size_t length)
{
}

static void
on_probe_ended (void *user, con_end_t end)
{
  edp_t *edp = user;

  if (end == CON_END_CONNECT_FAILED)
    {
      if (con_is_refused (edp->broken.probe))
        forget_version (edp);
      settle_ended (edp, "refused");
    }
  else
    edp_settle_break (edp, false, "connected");
}

static void
open_probe (edp_t *edp, cfd_time_t now)
{
  static const con_ops_t ops = { .connected = on_probe_connected,
                                 .bytes = on_probe_bytes,
                                 .ended = on_probe_ended };
  edp_break_t *broken = &edp->broken;
  addr_t addr;

  broken->probed_at = now;
  if (addr_parse (edp->report->address, &addr, NULL))
    broken->probe = con_new_outbound (edp->set->loop, &addr, &ops, edp);
  if (broken->probe == NULL)
    edp_settle_break (edp, false, "no-probe");
}

static void
check_break (edp_t *edp, cfd_time_t now)
{
  const edp_break_t *broken = &edp->broken;

  if (broken->probe != NULL)
    {
      if (now - broken->probed_at > PROBE_TIMEOUT_MS)
        settle_ended (edp, "unanswered");
    }
  else if (broken->is_silent
           || !ups_has_connection_from_before (edp->ups, broken->first_at))
    open_probe (edp, now);
  else if (now - broken->last_at > CLOSE_MS)
    edp_settle_break (edp, false, "others-open");
}

static void
check_breaks (list_node_t *list, cfd_time_t now)
{
  list_for_each (node, list)
    {
      edp_t *edp = list_entry (node, edp_t, node);

      if (edp_is_break_pending (edp))
        check_break (edp, now);
    }
}

void
edp_set_check_breaks (edp_set_t *set, cfd_time_t now)
{
  if (set->breaks_pending == 0)
    return;
  check_breaks (&set->list, now);
  check_breaks (&set->others, now);
}

void
edp_set_note_break (edp_set_t *set, edp_t *edp, cfd_time_t now, bool is_silent)
{
  edp_break_t *broken = &edp->broken;

  if (!edp_is_break_pending (edp))
    {
      *broken = (edp_break_t){ .first_at = now };
      set->breaks_pending++;
    }
  broken->last_at = now;
  broken->is_silent |= is_silent;
}

void
edp_note_unreachable (edp_t *edp, cfd_time_t now)
{
  if (ups_has_connection_from_before (edp->ups, now))
    return;
  if (ups_is_refused (edp->ups))
    forget_version (edp);
  edp_suspect_ended (edp, now, "unreachable");
}

void
edp_set_set_break_callback (edp_set_t *set, edp_break_callback_t callback,
                            void *user)
{
  set->on_break = callback;
  set->break_user = user;
}

uint64_t
edp_set_count_ended (const edp_set_t *set)
{
  return set->ended;
}
