/* Endpoints: the set of endpoints and the state of each.  */

#include "relay/edp-private.h"

#include "base/list.h"
#include "base/log.h"
#include <string.h>
#include <xxhash.h>

/* Backoff after a failure, doubled with each consecutive one up to the
   maximum: long enough that a dead endpoint costs few requests, short enough
   that a recovered one is soon used again.  */
#define MIN_FAILURE_BACKOFF_MS 250
#define MAX_FAILURE_BACKOFF_MS 4000

/* Backoff after a rejection, doubled likewise.  An endpoint that rejects
   requests runs some that this router doesn't know of, or some whose callers'
   connections were cut, and would reject the next request too.  With 64
   concurrent requests of one to two seconds each, a slot becomes free every 15
   to 30 ms.  */
#define MIN_FULL_BACKOFF_MS 20
#define MAX_FULL_BACKOFF_MS 80

/* Time after a rest in which an endpoint gets requests at the warm-up rate, so
   that those which waited for it don't all come at once.  */
#define REST_WARM_UP_MS 500

/* 32 bits keep datagrams short, and are enough to tell some hundred endpoints
   apart.  */
#define HASH_MASK 0xffffffffu

void
edp_report_free (edp_report_t *report)
{
  if (report == NULL)
    return;
  g_free (report->id);
  g_free (report->service);
  g_free (report->address);
  g_free (report->zone);
  g_free (report->version);
  g_free (report);
}

const char *
edp_standing_name (edp_standing_t standing)
{
  switch (standing)
    {
    case EDP_CURRENT:
      return "current";
    case EDP_CANARY:
      return "canary";
    case EDP_UNVERIFIED:
      return "unverified";
    case EDP_REJECTED:
      return "rejected";
    case EDP_REPLACED:
      return "replaced";
    }
  return "?";
}

static void
edp_free (edp_t *edp)
{
  list_remove (&edp->node);
  con_free (edp->broken.probe);
  ups_free (edp->ups);
  edp_report_free (edp->report);
  g_free (edp);
}

edp_set_t *
edp_set_new (struct ev_loop *loop)
{
  edp_set_t *set = g_new0 (edp_set_t, 1);

  set->loop = loop;
  list_init (&set->list);
  list_init (&set->others);
  list_init (&set->retired);
  set->cells = 1;
  set->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                         edp_service_free);
  set->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  set->by_hash = g_hash_table_new (g_int64_hash, g_int64_equal);
  return set;
}

static void
free_endpoints (list_node_t *list)
{
  list_for_each_safe (node, list)
    {
      edp_free (list_entry (node, edp_t, node));
    }
}

void
edp_set_free (edp_set_t *set)
{
  if (set == NULL)
    return;
  free_endpoints (&set->list);
  free_endpoints (&set->others);
  free_endpoints (&set->retired);
  g_hash_table_unref (set->by_id);
  g_hash_table_unref (set->by_hash);
  g_hash_table_unref (set->services);
  g_strfreev (set->zones_out);
  g_free (set);
}

static void
retire (edp_set_t *set, edp_t *edp)
{
  g_hash_table_remove (set->by_id, edp->report->id);
  g_hash_table_remove (set->by_hash, &edp->hash);
  edp_settle_break (edp, !edp->report->leaving, "unlisted");
  edp->report->leaving = true;
  set->must_divide = true;
  set->epoch++;
  list_remove (&edp->node);
  list_append (&set->retired, &edp->node);
}

static bool
is_zone_out (const edp_set_t *set, const char *zone)
{
  return set->zones_out != NULL
         && g_strv_contains ((const char *const *)set->zones_out, zone);
}

/* Returns whether the endpoint was restarted, moved to another address or
   changed its software.  */
static bool
is_different_process (const edp_report_t *a, const edp_report_t *b)
{
  return strcmp (a->address, b->address) != 0
         || g_strcmp0 (a->version, b->version) != 0
         || (a->started_ms != 0 && b->started_ms != 0
             && a->started_ms != b->started_ms);
}

static edp_t *
add_endpoint (edp_set_t *set, cfd_time_t now, edp_report_t *report)
{
  g_autoptr (GError) error = NULL;
  addr_t addr;
  edp_t *edp;

  if (!addr_parse (report->address, &addr, &error))
    {
      log_warn ("endpoints",
                "An endpoint was ignored: endpoint=%s "
                "problem=%s.",
                report->id, error->message);
      edp_report_free (report);
      return NULL;
    }
  edp = g_new0 (edp_t, 1);
  edp->report = report;
  edp->hash = XXH3_64bits_withSeed (report->id, strlen (report->id),
                                    (uint64_t)report->started_ms)
              & HASH_MASK;
  edp->origin = org_hash (report->service, report->version);
  edp->set = set;
  edp->cold_tokens = EDP_COLD_BURST;
  wrm_init (&edp->warmth);
  edp->broken.first_at = CFD_TIME_NEVER;
  if (!set->is_verified)
    edp_suspect_cold (set, edp, now);
  edp->ups = ups_new (set->loop, &addr);
  edp_watch_connections (edp);
  edp->unlisted_since = CFD_TIME_NEVER;
  edp->listed_revision = report->revision;
  edp->withdrawn = is_zone_out (set, report->zone);
  edp->last_answer_at = now;
  edp->is_near = true;
  edp->is_in_use = true;
  edp->cell_count = 1;
  set->must_divide = true;
  set->has_new = true;
  set->epoch++;
  list_init (&edp->node);
  list_append (&set->list, &edp->node);
  g_hash_table_insert (set->by_id, report->id, edp);
  g_hash_table_replace (set->by_hash, &edp->hash, edp);
  log_info ("endpoints",
            "An endpoint is listed: endpoint=%s service=%s zone=%s "
            "address=%s version=%s slots=%u cold_ms=%" G_GINT64_FORMAT
            " started_ms=%" G_GINT64_FORMAT ".",
            report->id, report->service, report->zone, report->address,
            report->version != NULL ? report->version : "", report->slots,
            report->cold_ms, report->started_ms);
  return edp;
}

/* Replaces the report about a known endpoint by REPORT.  */
static void
update_report (edp_set_t *set, edp_t *edp, edp_report_t *report)
{
  if (edp->report->leaving != report->leaving)
    log_info ("endpoints", "An endpoint changed: endpoint=%s leaving=%d.",
              report->id, report->leaving);
  /* It is of the process that listens now.  */
  if (report->revision > edp->report->revision)
    edp->origin = org_hash (report->service, report->version);
  g_hash_table_remove (set->by_id, report->id);
  edp_report_free (edp->report);
  edp->report = report;
  edp->unlisted_since = CFD_TIME_NEVER;
  g_hash_table_insert (set->by_id, report->id, edp);
}

static void
apply_report (edp_set_t *set, cfd_time_t now, edp_report_t *report,
              int64_t cold_ms, bool is_first_list)
{
  edp_t *edp = g_hash_table_lookup (set->by_id, report->id);
  bool was_known = edp != NULL;
  bool is_new = edp == NULL || is_different_process (edp->report, report);
  int64_t cold = report->cold_ms;
  /* The new process may have asked for it before it was listed.  */
  int64_t rest_ms = edp != NULL ? edp->rest_until - now : 0;

  if (edp != NULL && is_new)
    retire (set, edp);
  /* A start that this router observed: the full warm-up time is ahead, even
     when the report was written before the start.  */
  if (is_new && !is_first_list && cold_ms > 0 && report->started_ms == 0)
    cold = MAX (cold, cold_ms);
  if (is_new)
    edp = add_endpoint (set, now, report);
  else
    update_report (set, edp, report);
  if (edp == NULL)
    return;
  if (is_new && rest_ms > 0)
    edp_record_rest (edp, now, rest_ms);
  edp->listed_in = set->list_number;
  edp_set_cold (edp, now, cold, is_new ? "listed" : "report");
  if (is_new && !was_known)
    edp->cold_tokens = EDP_COLD_BURST;
}

static void
handle_unlisted (edp_set_t *set, list_node_t *list, cfd_time_t now,
                 bool settled)
{
  list_for_each_safe (node, list)
    {
      edp_t *edp = list_entry (node, edp_t, node);

      if (edp->listed_in == set->list_number)
        continue;
      if (edp->unlisted_since == CFD_TIME_NEVER)
        {
          edp->unlisted_since = now;
          log_info ("endpoints",
                    "An endpoint is no longer listed: endpoint=%s "
                    "settled=%d.",
                    edp->report->id, settled);
        }
      if (settled)
        retire (set, edp);
      else
        set->unlisted++;
    }
}

bool
edp_set_keep (edp_set_t *set, const char *id, int64_t revision)
{
  edp_t *edp = g_hash_table_lookup (set->by_id, id);

  if (edp == NULL || revision <= 0 || edp->report->revision != revision
      || edp->unlisted_since != CFD_TIME_NEVER)
    return false;
  edp->listed_in = set->list_number;
  return true;
}

void
edp_set_update (edp_set_t *set, cfd_time_t now, GPtrArray *reports,
                bool settled, int64_t cold_ms)
{
  bool is_first_list = g_hash_table_size (set->by_id) == 0;

  for (guint i = 0; i < reports->len; i++)
    apply_report (set, now, g_ptr_array_index (reports, i), cold_ms,
                  is_first_list);
  g_ptr_array_set_free_func (reports, NULL);
  g_ptr_array_unref (reports);
  set->unlisted = 0;
  handle_unlisted (set, &set->list, now, settled);
  handle_unlisted (set, &set->others, now, settled);
  set->list_number++;
  edp_set_divide (set);
}

bool
edp_set_take_new (edp_set_t *set)
{
  bool has_new = set->has_new;

  set->has_new = false;
  return has_new;
}

void
edp_set_note_changed (edp_set_t *set, edp_t *edp)
{
  edp->changed = true;
  set->has_changed = true;
}

bool
edp_set_has_changed (const edp_set_t *set)
{
  return set->has_changed;
}

void
edp_set_clear_changed (edp_set_t *set)
{
  set->has_changed = false;
}

/* Returns the number of endpoints whose zone returned.  */
static unsigned
withdraw_zones (edp_set_t *set, list_node_t *list, cfd_time_t now)
{
  unsigned returned = 0;

  list_for_each (node, list)
    {
      edp_t *edp = list_entry (node, edp_t, node);
      bool was_withdrawn = edp->withdrawn;

      edp->withdrawn = is_zone_out (set, edp->report->zone);
      if (!was_withdrawn || edp->withdrawn)
        continue;
      edp_suspect_cold (set, edp, now);
      returned++;
    }
  return returned;
}

void
edp_set_withdraw_zones (edp_set_t *set, cfd_time_t now,
                        const char *const *zones)
{
  unsigned returned;

  g_strfreev (set->zones_out);
  set->zones_out = g_strdupv ((char **)zones);
  returned = withdraw_zones (set, &set->list, now)
             + withdraw_zones (set, &set->others, now);
  if (returned > 0)
    edp_log_suspected ("zone-returned", returned);
}

void
edp_set_sweep (edp_set_t *set, cfd_time_t now)
{
  list_for_each_safe (node, &set->list)
    {
      edp_t *edp = list_entry (node, edp_t, node);

      ups_close_expired (edp->ups, now);
      edp_expire_check (edp, now);
      if (!edp->is_near)
        edp_set_drop_unused (set, edp);
    }
  list_for_each_safe (node, &set->retired)
    {
      edp_t *edp = list_entry (node, edp_t, node);

      if (edp->active == 0)
        edp_free (edp);
    }
}

list_node_t *
edp_set_endpoints (edp_set_t *set)
{
  return &set->list;
}

edp_t *
edp_set_find (edp_set_t *set, const char *id)
{
  return g_hash_table_lookup (set->by_id, id);
}

edp_t *
edp_set_find_by_hash (edp_set_t *set, uint64_t hash)
{
  return g_hash_table_lookup (set->by_hash, &hash);
}

list_node_t *
edp_set_others (edp_set_t *set)
{
  return &set->others;
}

guint
edp_set_count (const edp_set_t *set)
{
  return g_hash_table_size (set->by_id);
}

bool
edp_set_has_unlisted (const edp_set_t *set)
{
  return set->unlisted > 0;
}

bool
edp_is_usable (const edp_t *edp)
{
  return (edp->standing == EDP_CURRENT || edp->standing == EDP_CANARY)
         && !edp->report->leaving && !edp->has_announced_leaving
         && !edp->withdrawn;
}

bool
edp_set_has_origin (const edp_set_t *set, const char *service,
                    org_origin_t origin)
{
  const GPtrArray *all = edp_set_get_all (set, service);

  for (guint i = 0; all != NULL && i < all->len; i++)
    {
      const edp_t *edp = g_ptr_array_index (all, i);

      if (edp->origin == origin && edp_is_usable (edp)
          && (edp->is_near || edp->standing == EDP_CURRENT))
        return true;
    }
  return false;
}

bool
edp_is_serving (const edp_t *edp, cfd_time_t now)
{
  return edp_is_usable (edp) && now >= edp->backoff_until
         && now >= edp->rest_until;
}

bool
edp_is_open (const edp_t *edp, cfd_time_t now)
{
  return edp_is_serving (edp, now) && now >= edp->full_until;
}

void
edp_record_failure (edp_t *edp, cfd_time_t now)
{
  unsigned doublings = MIN (edp->consecutive_failures, 8);
  int64_t backoff_ms = MIN ((int64_t)MIN_FAILURE_BACKOFF_MS << doublings,
                            MAX_FAILURE_BACKOFF_MS);

  edp->consecutive_failures++;
  edp->backoff_until = now + backoff_ms;
}

void
edp_record_success (edp_t *edp, cfd_time_t now)
{
  edp->consecutive_failures = 0;
  edp->backoff_until = 0;
  edp->last_answer_at = now;
}

void
edp_record_rejection (edp_t *edp, cfd_time_t now)
{
  unsigned doublings = MIN (edp->consecutive_rejections, 8);
  int64_t backoff_ms
      = MIN ((int64_t)MIN_FULL_BACKOFF_MS << doublings, MAX_FULL_BACKOFF_MS);

  edp->consecutive_rejections++;
  edp->full_until = now + backoff_ms;
}

void
edp_record_acceptance (edp_t *edp)
{
  edp->consecutive_rejections = 0;
  edp->full_until = 0;
}

bool
edp_record_leaving (edp_t *edp)
{
  bool is_new = !edp->has_announced_leaving && !edp->report->leaving;

  edp->has_announced_leaving = true;
  return is_new;
}

bool
edp_record_rest (edp_t *edp, cfd_time_t now, int64_t rest_ms)
{
  bool begins = !edp_is_resting (edp, now);

  edp->rest_until = MAX (edp->rest_until, now + rest_ms);
  edp_set_cold (edp, now, edp->rest_until + REST_WARM_UP_MS - now, "rest");
  return begins;
}

bool
edp_is_resting (const edp_t *edp, cfd_time_t now)
{
  return now < edp->rest_until;
}

cfd_time_t
edp_set_find_rest_end (const edp_set_t *set, const char *service,
                       cfd_time_t now)
{
  const GPtrArray *all = edp_set_get_all (set, service);
  cfd_time_t first = CFD_TIME_NEVER;

  for (guint i = 0; all != NULL && i < all->len; i++)
    {
      const edp_t *edp = g_ptr_array_index (all, i);

      if (edp_is_usable (edp))
        first = MIN (first, edp->rest_until);
    }
  return first == CFD_TIME_NEVER ? now : MAX (first, now);
}
