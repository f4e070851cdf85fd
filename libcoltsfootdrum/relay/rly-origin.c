/* The relay of requests: the software version at which a stream is resumed, by
   the router within one response or by its caller.  */

#include "relay/rly-private.h"

#include "base/log.h"

const char *
rly_resume_name (rly_resume_t outcome)
{
  switch (outcome)
    {
    case RLY_RESUME_ANY:
      return "any-version";
    case RLY_RESUME_BOUND:
      return "same-version";
    case RLY_RESUME_UNKNOWN:
      return "version-unknown";
    case RLY_RESUME_UNAVAILABLE:
      return "version-unavailable";
    case RLY_RESUME_KINDS:
      break;
    }
  return "?";
}

bool
rly_fits_origin (const rly_request_t *request, const edp_t *edp)
{
  return request->origin == ORG_ANY || request->origin == edp->origin;
}

bool
rly_can_continue (const rly_request_t *request)
{
  return request->origin == ORG_ANY
         || edp_set_has_origin (request->rly->endpoints,
                                request->service->name, request->origin);
}

/* Sets the service of REQUEST to that of its route in which its stream began.
   Returns false when no endpoint may continue it.  */
static bool
choose_service_of_origin (rly_request_t *request)
{
  rly_t *rly = request->rly;
  const GArray *shares = request->route->traffic_shares;

  for (guint i = 0; i < shares->len; i++)
    {
      const char *name
          = g_array_index (shares, rte_traffic_share_t, i).service;

      if (!edp_set_has_origin (rly->endpoints, name, request->origin))
        continue;
      request->service = rly_find_or_add_service (rly, name);
      return true;
    }
  return false;
}

/* Returns the only service in which a stream of REQUEST's path that may still
   be resumed can have begun; NULL if there are several.  */
static const char *
get_sole_service (const rly_request_t *request, cfd_time_t now)
{
  const rd_head_t *head = ent_get_head (request->call);
  const char *host = hdr_get (&head->fields, "Host");

  if (host == NULL)
    return NULL;
  return rth_get_sole_service (request->rly->history, now, host, head->target);
}

/* Returns what is concluded for REQUEST, of whose stream RECORD is known.  In
   which of several services a stream without a record began isn't known.  */
static org_verdict_t
decide_origin (const rly_request_t *request, const org_record_t *record,
               cfd_time_t now)
{
  const org_t *org = request->rly->org;
  const char *service = get_sole_service (request, now);
  const org_inputs_t inputs
      = { .origin = record->origin,
          .sole = service != NULL ? org_get_sole (org, service) : ORG_ANY,
          .knows_versions = org_knows_versions (org) };

  return org_decide (&inputs);
}

static rly_resume_t
bind_to (rly_request_t *request, const org_verdict_t *verdict)
{
  if (verdict->ground == ORG_UNKNOWN)
    return RLY_RESUME_UNKNOWN;
  request->origin = verdict->origin;
  return choose_service_of_origin (request) ? RLY_RESUME_BOUND
                                            : RLY_RESUME_UNAVAILABLE;
}

/* Returns the version of an endpoint of ORIGIN, for logs; empty when none is
   known.  */
static const char *
find_version (const rly_request_t *request, org_origin_t origin)
{
  const GPtrArray *all
      = edp_set_get_all (request->rly->endpoints, request->service->name);

  for (guint i = 0; all != NULL && i < all->len; i++)
    {
      const edp_t *edp = g_ptr_array_index (all, i);

      if (origin != ORG_ANY && edp->origin == origin
          && edp->report->version != NULL)
        return edp->report->version;
    }
  return "";
}

static const char *
get_source (const org_verdict_t *verdict, const org_record_t *record)
{
  switch (verdict->ground)
    {
    case ORG_RECORDED:
      return record->is_own ? "own" : "peer";
    case ORG_SOLE:
      return "register";
    case ORG_UNKNOWN:
      break;
    }
  return "none";
}

rly_resume_t
rly_bind_origin (rly_request_t *request, cfd_time_t now)
{
  const rly_names_t *names = &request->rly->names;
  const hdr_t *fields = &ent_get_head (request->call)->fields;
  const char *last_event = hdr_get (fields, names->last_event);
  const char *first = hdr_get (fields, names->resumes);
  const org_t *org = request->rly->org;
  org_record_t record = { .origin = ORG_ANY };
  org_verdict_t verdict;
  rly_resume_t outcome;

  if (request->id != NULL)
    request->stream_key = org_stream_key (request->id);
  if (org == NULL || last_event == NULL || request->route->kind != RTE_STREAM)
    return RLY_RESUME_ANY;
  if (first != NULL)
    {
      request->stream_key = org_stream_key (first);
      record = org_find (org, now, request->stream_key);
    }
  verdict = decide_origin (request, &record, now);
  outcome = bind_to (request, &verdict);
  request->is_resumed = outcome == RLY_RESUME_BOUND;
  request->rly->counts.resumptions[outcome]++;
  log_info ("relay",
            "A caller resumes a stream: request=%s resumes=%s last_event=%s "
            "outcome=%s version=%s origin=%08x source=%s "
            "age_ms=%" G_GINT64_FORMAT
            " registered=%u register_known=%d versions_known=%d.",
            request->id, first != NULL ? first : "", last_event,
            rly_resume_name (outcome), find_version (request, verdict.origin),
            verdict.origin, get_source (&verdict, &record), record.age_ms,
            org_count_registered (org, request->service->name),
            org_knows_register (org), org_knows_versions (org));
  return outcome;
}

/* Returns whether a router without a record of REQUEST's stream would take it
   for one of another service or version, or of an unknown one.  */
static bool
must_publish (const rly_request_t *request, cfd_time_t now)
{
  const char *service = request->service->name;

  return org_is_mixed (request->rly->org, now, service)
         || g_strcmp0 (get_sole_service (request, now), service) != 0;
}

void
rly_note_origin (rly_request_t *request, cfd_time_t now)
{
  rly_t *rly = request->rly;
  bool is_unmatched;
  bool is_published;

  if (request->origin_noted)
    return;
  request->origin_noted = true;
  is_unmatched = request->edp->origin == ORG_ANY;
  request->origin = is_unmatched ? ORG_UNMATCHED : request->edp->origin;
  if (rly->org == NULL || !request->route->resumable
      || request->stream_key == 0)
    return;
  /* By the register it would be of the version that is listed.  */
  is_published = is_unmatched || must_publish (request, now);
  org_add (rly->org, now, request->stream_key, request->origin, is_published);
  if (!is_published)
    return;
  /* The record goes out with the changes of load.  */
  edp_set_note_changed (rly->endpoints, request->edp);
  /* That of a resumed stream is stored already.  */
  if (!request->is_resumed)
    rly_hold_events (request, now);
}

static void
list_versions (org_t *org, list_node_t *endpoints)
{
  list_for_each (node, endpoints)
    {
      const edp_t *edp = list_entry (node, edp_t, node);

      org_list_version (org, edp->report->service, edp->report->version);
    }
}

void
rly_update_versions (rly_t *rly, cfd_time_t now)
{
  if (rly->org == NULL)
    return;
  org_begin_versions (rly->org);
  list_versions (rly->org, edp_set_endpoints (rly->endpoints));
  list_versions (rly->org, edp_set_others (rly->endpoints));
  org_end_versions (rly->org, now);
  rly_update_register (rly);
}

static void
set_registered (const org_t *org, list_node_t *endpoints)
{
  list_for_each (node, endpoints)
    {
      edp_t *edp = list_entry (node, edp_t, node);

      edp->is_registered = org_is_registered (
          org, edp->report->service,
          org_hash (edp->report->service, edp->report->version));
    }
}

void
rly_update_register (rly_t *rly)
{
  if (rly->org == NULL)
    return;
  set_registered (rly->org, edp_set_endpoints (rly->endpoints));
  set_registered (rly->org, edp_set_others (rly->endpoints));
  list_for_each (node, &rly->services)
    {
      rly_schedule_dispatch (list_entry (node, rly_service_t, node));
    }
}
