#include "router/router-private.h"

#include <sodium.h>
#include <string.h>

#define DIGEST_SIZE 32
#define CLAIM_RETRY_AFTER_S 1
#define PLATFORM_RETRY_AFTER_S 5

/* ---- end of a claimed request ---- */

static const char *
content_type (const request_t *request)
{
  static const char name[] = "Content-Type:";

  for (const char *const *header = request_answer_headers (request);
       header != NULL && *header != NULL; header++)
    if (g_ascii_strncasecmp (*header, name, sizeof name - 1) == 0)
      return *header + sizeof name - 1
             + strspn (*header + sizeof name - 1, " ");
  return "application/octet-stream";
}

/* Returns the copy of the answer as text, or NULL if it is incomplete or not
   text: a part must not be stored as the whole answer.  */
static const char *
answer_copy_text (request_t *request)
{
  GByteArray *copy = request->answer_copy;

  if (!request->answer_copy_complete
      || (copy->len > 0 && memchr (copy->data, 0, copy->len) != NULL))
    return NULL;
  g_byte_array_append (copy, (const guint8 *)"", 1);
  return (const char *)copy->data;
}

/* A claim is released only if the request certainly did not run.  Otherwise it
   stays, so that a repeated request with its key is not run a second time.  */
void
claim_settle (request_t *request, const req_step_t *step)
{
  once_t *once = request->router->once;
  const char *account = request->item.account;

  if (!request->claimed)
    return;
  request->claimed = false;
  if (step->run == RUN_DONE)
    once_finish (once, account, request->key, request->status,
                 content_type (request), answer_copy_text (request));
  else if (step->run == RUN_NOT_RUN)
    once_release (once, account, request->key);
  router_record_event (request->router, TL_CLAIM, request,
                       step->run == RUN_DONE      ? "finished"
                       : step->run == RUN_NOT_RUN ? "given back"
                                                  : "left: outcome unknown");
}

/* ---- claims of new requests ---- */

static void
replay_answer (request_t *request, const once_claim_result_t *answer)
{
  static const char *const headers[] = { "Idempotent-Replayed: true", NULL };

  request->router->counters.replayed++;
  if (request->web == NULL)
    return;
  if (answer->body != NULL)
    web_respond (request->web, answer->status, answer->type, headers,
                 answer->body, strlen (answer->body));
  else
    web_respond_problem (
        request->web, 409, "Already done",
        "The request with this key ran; its answer could not be kept.",
        "unknown", -1);
  request->web = NULL;
}

static void
refuse_claim (request_t *request, const once_claim_result_t *answer)
{
  switch (answer->claim_status)
    {
    case ONCE_FINISHED:
      replay_answer (request, answer);
      return;
    case ONCE_RUNNING:
      request_refuse (request, REFUSED_CLAIM_CONFLICT, 409, "Already asked",
                      "A request with this key is running or its outcome is "
                      "not known; ask again with the same key.",
                      RUN_UNKNOWN, CLAIM_RETRY_AFTER_S);
      return;
    case ONCE_OUTCOME_UNKNOWN:
      request_refuse (
          request, REFUSED_CLAIM_CONFLICT, 409, "Outcome unknown",
          "A request with this key was given to a router that went away; find "
          "out whether it ran before you send it with another key.",
          RUN_UNKNOWN, -1);
      return;
    case ONCE_KEY_REUSED:
      request_refuse (
          request, REFUSED_CLAIM_CONFLICT, 422, "Key used before",
          "This Idempotency-Key belongs to another request; choose a new "
          "one.",
          RUN_NOT_RUN, -1);
      return;
    default:
      request_refuse (
          request, REFUSED_PLATFORM_DOWN, 503, "Platform is down",
          "This call was not run, for its key can't be claimed; an earlier "
          "one with the same key may have been.  Ask again with it.",
          RUN_NOT_RUN, PLATFORM_RETRY_AFTER_S);
      return;
    }
}

static void
on_claim (void *user, const once_claim_result_t *answer)
{
  request_t *request = user;

  request->claim_pending = false;
  if (request->state == REQ_OVER)
    {
      request_free (request);
      return;
    }
  router_record_event (request->router, TL_CLAIM, request,
                       answer->claim_status == ONCE_CLAIMED ? "made"
                                                            : "not ours");
  if (answer->claim_status == ONCE_CLAIMED)
    {
      request->claimed = true;
      request->answer_copy = g_byte_array_new ();
      request->answer_copy_complete = true;
      request_handle_event (request, REQ_EV_CLAIMED, clock_now ());
      return;
    }
  refuse_claim (request, answer);
  request->state = REQ_OVER;
  request_free (request);
}

static char *
compute_digest (const request_t *request)
{
  crypto_generichash_state state;
  unsigned char hash[DIGEST_SIZE];
  char hex[2 * DIGEST_SIZE + 1];
  gsize length;
  const void *body = g_bytes_get_data (request->body, &length);

  crypto_generichash_init (&state, NULL, 0, sizeof hash);
  crypto_generichash_update (&state, (const unsigned char *)request->method,
                             strlen (request->method) + 1);
  crypto_generichash_update (&state, (const unsigned char *)request->path,
                             strlen (request->path) + 1);
  crypto_generichash_update (&state, body, length);
  crypto_generichash_final (&state, hash, sizeof hash);
  sodium_bin2hex (hex, sizeof hex, hash, sizeof hash);
  return g_strdup (hex);
}

static bool
queue_is_full (const request_t *request, cfd_time_t now)
{
  adm_queue_info_t info;

  adm_get_queue_info (request->router->adm, request->item.account,
                      request->item.service, now, &info);
  return info.count >= request_queue_limit (request);
}

void
claim_acquire (request_t *request, cfd_time_t now)
{
  cfd_router_t *router = request->router;
  g_autofree char *digest = NULL;

  /* Each claim costs the platform two writes: a flood of requests must be
     refused before they are made.  */
  if (queue_is_full (request, now))
    {
      request_refuse_queue_full (
          request,
          adm_estimate_retry_after_s (router->adm, request->item.account,
                                      request->item.service, now));
      request->state = REQ_OVER;
      request_free (request);
      return;
    }
  digest = compute_digest (request);
  request->claim_pending = true;
  once_claim (router->once, request->item.account, request->key, digest,
              on_claim, request);
}

/* ---- removal of expired claims ---- */

/* The key whose home is the router that keeps the ages of claims.  */
#define CLAIM_AGE_WRITER_KEY "claim-sweep"

static unsigned
count_listed_routers (void *user)
{
  const cfd_router_t *router = user;

  return store_get_instances (router->store, ROLE_ROUTER)->len;
}

static bool
is_claim_age_writer (void *user)
{
  const cfd_router_t *router = user;
  const char *home = store_find_home_router (
      router->store, CLAIM_AGE_WRITER_KEY, "", NULL, NULL);

  return g_strcmp0 (home, router->instance) == 0;
}

static bool
has_running_claim (void *user, const char *claim)
{
  const cfd_router_t *router = user;

  return once_has_running_claim (router->once, claim);
}

void
claim_start_sweep (cfd_router_t *router, const cfd_settings_t *settings)
{
  const sweep_options_t options
      = { .retention_s = settings->claims_kept_s,
          .max_calls_per_s = (unsigned)settings->claim_calls,
          .count_routers = count_listed_routers,
          .is_age_writer = is_claim_age_writer,
          .is_claim_running = has_running_claim,
          .user = router };

  once_set_retention_s (router->once, settings->claims_kept_s);
  if (settings->claims_kept_s > 0)
    router->sweep = sweep_new (router->plat, &options);
}
