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

static rly_resume_t
decide_resumption (rly_request_t *request, cfd_time_t now,
                   const org_record_t *record)
{
  const org_t *org = request->rly->org;
  const org_inputs_t inputs
      = { .origin = record->origin,
          .is_mixed = org_is_mixed (org, now, request->service->name),
          .knows_versions = org_knows_versions (org) };

  switch (org_decide (&inputs))
    {
    case ORG_FREE:
      return RLY_RESUME_ANY;
    case ORG_UNKNOWN:
      return RLY_RESUME_UNKNOWN;
    case ORG_BOUND:
      break;
    }
  request->origin = record->origin;
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

      if (edp->origin == origin && edp->report->version != NULL)
        return edp->report->version;
    }
  return "";
}

static const char *
get_source (const org_record_t *record)
{
  if (record->origin == ORG_ANY)
    return "none";
  return record->is_own ? "own" : "peer";
}

rly_resume_t
rly_bind_origin (rly_request_t *request, cfd_time_t now)
{
  const rly_names_t *names = &request->rly->names;
  const hdr_t *fields = &ent_get_head (request->call)->fields;
  const char *last_event = hdr_get (fields, names->last_event);
  const char *first = hdr_get (fields, names->resumes);
  org_record_t record = { .origin = ORG_ANY };
  rly_resume_t outcome;

  if (request->id != NULL)
    request->stream_key = org_stream_key (request->id);
  if (request->rly->org == NULL || last_event == NULL
      || request->route->kind != RTE_STREAM)
    return RLY_RESUME_ANY;
  if (first != NULL)
    {
      request->stream_key = org_stream_key (first);
      record = org_find (request->rly->org, now, request->stream_key);
    }
  outcome = decide_resumption (request, now, &record);
  request->rly->counts.resumptions[outcome]++;
  log_info ("relay",
            "A caller resumes a stream: request=%s resumes=%s last_event=%s "
            "outcome=%s version=%s origin=%08x source=%s "
            "age_ms=%" G_GINT64_FORMAT ".",
            request->id, first != NULL ? first : "", last_event,
            rly_resume_name (outcome), find_version (request, record.origin),
            record.origin, get_source (&record), record.age_ms);
  return outcome;
}

void
rly_note_origin (rly_request_t *request, cfd_time_t now)
{
  rly_t *rly = request->rly;
  bool is_mixed;

  if (request->origin_noted)
    return;
  request->origin_noted = true;
  request->origin = request->edp->origin;
  if (rly->org == NULL || !request->route->resumable
      || request->stream_key == 0)
    return;
  is_mixed = org_is_mixed (rly->org, now, request->service->name);
  org_add (rly->org, now, request->stream_key, request->origin, is_mixed);
  /* The record goes out with the changes of load.  */
  if (is_mixed)
    edp_set_note_changed (rly->endpoints, request->edp);
}

static void
list_versions (org_t *org, list_node_t *endpoints)
{
  list_for_each (node, endpoints)
    {
      const edp_t *edp = list_entry (node, edp_t, node);

      org_list_version (org, edp->report->service, edp->origin);
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
}
