#include "once/once.h"
#include "base/log.h"
#include "http/syn.h"
#include "once/once-job.h"

#include <sodium.h>
#include <string.h>

#define PART "once"
#define CLAIM_NAME_BYTES 16
/* Attempts to create one claim, each with a read after a failure, before the
   caller is refused.  */
#define MAX_CLAIM_TRIES 3

struct once
{
  plat_t *plat;
  char *owner;
  uint64_t attempt_count;
  int retention_s;
  GHashTable *running; /* claim name -> running_claim_t */
  list_node_t pending; /* of pending_claim_t */
  once_jobs_t jobs;
};

/* The claim of a request that runs here.  */
typedef struct
{
  char *attempt;
  char *version;
  JsonObject *spec;
} running_claim_t;

/* A claim that is being created.  */
typedef struct
{
  list_node_t node;
  once_t *once;
  char *name;
  char *attempt;
  JsonObject *spec;
  unsigned tries;
  bool may_be_written;  /* a write may have taken effect */
  bool met_other_claim; /* a write found another attempt's claim */
  void (*done) (void *user, const once_claim_result_t *result);
  void *user;
} pending_claim_t;

static void create_claim (pending_claim_t *claim);

char *
once_make_claim_name (const char *account, const char *key)
{
  g_autofree char *text = g_strconcat (account, "\n", key, NULL);
  unsigned char hash[CLAIM_NAME_BYTES];
  char hex[CLAIM_NAME_BYTES * 2 + 1];

  crypto_generichash (hash, sizeof hash, (const unsigned char *)text,
                      strlen (text), NULL, 0);
  sodium_bin2hex (hex, sizeof hex, hash, sizeof hash);
  return g_strdup (hex);
}

static void
running_claim_free (gpointer pointer)
{
  running_claim_t *running = pointer;

  g_free (running->attempt);
  g_free (running->version);
  json_object_unref (running->spec);
  g_free (running);
}

static void
pending_claim_free (pending_claim_t *claim)
{
  list_remove (&claim->node);
  json_object_unref (claim->spec);
  g_free (claim->name);
  g_free (claim->attempt);
  g_free (claim);
}

/* ---- the claim_status ---- */

static void
finish_claim (pending_claim_t *claim, const once_claim_result_t *result)
{
  once_t *once = claim->once;

  if (result->claim_status != ONCE_CLAIMED && claim->may_be_written)
    once_jobs_add (&once->jobs, claim->name, claim->attempt, NULL, NULL);
  claim->done (claim->user, result);
  pending_claim_free (claim);
}

static void
finish_with_status (pending_claim_t *claim, once_claim_status_t claim_status)
{
  once_claim_result_t result = { .claim_status = claim_status };

  finish_claim (claim, &result);
}

static void
accept_claim (pending_claim_t *claim, JsonObject *object)
{
  running_claim_t *running = g_new0 (running_claim_t, 1);

  running->attempt = g_strdup (claim->attempt);
  running->version = g_strdup (once_get_text (object, "version"));
  running->spec = json_object_ref (claim->spec);
  g_hash_table_replace (claim->once->running, g_strdup (claim->name), running);
  finish_with_status (claim, ONCE_CLAIMED);
}

/* Routers of other versions may have stored a status that they did not check.
   Such an answer counts as not stored.  */
static void
report_finished (pending_claim_t *claim, JsonObject *spec)
{
  once_claim_result_t result = { .claim_status = ONCE_FINISHED };
  gint64 status
      = json_object_get_int_member_with_default (spec, "status", 200);

  if (json_object_has_member (spec, "body") && syn_is_final_status (status))
    {
      result.status = (unsigned)status;
      result.type = once_get_text (spec, "type");
      result.body = once_get_text (spec, "body");
    }
  finish_claim (claim, &result);
}

/* Decides the result by the claim that exists already.  */
static void
evaluate_existing (pending_claim_t *claim, JsonObject *object)
{
  JsonObject *spec = once_get_spec (object);

  if (spec == NULL)
    finish_with_status (claim, ONCE_RUNNING);
  else if (strcmp (once_get_text (spec, "attempt"), claim->attempt) == 0)
    accept_claim (claim, object);
  else if (strcmp (once_get_text (spec, "digest"),
                   once_get_text (claim->spec, "digest"))
           != 0)
    finish_with_status (claim, ONCE_KEY_REUSED);
  else if (strcmp (once_get_text (spec, "state"), ONCE_STATE_FINISHED) == 0)
    report_finished (claim, spec);
  else if (strcmp (once_get_text (spec, "state"), ONCE_STATE_UNKNOWN) == 0)
    finish_with_status (claim, ONCE_OUTCOME_UNKNOWN);
  else
    finish_with_status (claim, ONCE_RUNNING);
}

/* Ends the claim without a definite reply of the platform.  If a write found
   another claim, its request may be running.  */
static void
fail_claim (pending_claim_t *claim)
{
  finish_with_status (claim, claim->met_other_claim ? ONCE_RUNNING
                                                    : ONCE_PLATFORM_DOWN);
}

/* ---- calls to the platform ---- */

static void
on_claim_read (void *user, plat_status_t status, JsonObject *answer)
{
  pending_claim_t *claim = user;

  if (status == PLAT_OK)
    evaluate_existing (claim, answer);
  else if (status == PLAT_NOT_FOUND && claim->tries < MAX_CLAIM_TRIES)
    create_claim (claim); /* released meanwhile, or never written */
  else
    fail_claim (claim);
  g_clear_pointer (&answer, json_object_unref);
}

static void
on_claim_created (void *user, plat_status_t status, JsonObject *answer)
{
  pending_claim_t *claim = user;

  switch (status)
    {
    case PLAT_OK:
      accept_claim (claim, answer);
      break;
    case PLAT_CONFLICT:
      claim->met_other_claim = true;
      plat_get (claim->once->plat, ONCE_KIND, claim->name, on_claim_read,
                claim);
      break;
    case PLAT_OUTCOME_UNKNOWN:
    case PLAT_INVALID_RESPONSE:
      claim->may_be_written = true;
      plat_get (claim->once->plat, ONCE_KIND, claim->name, on_claim_read,
                claim);
      break;
    default:
      fail_claim (claim);
      break;
    }
  g_clear_pointer (&answer, json_object_unref);
}

static void
create_claim (pending_claim_t *claim)
{
  claim->tries++;
  claim->met_other_claim = false;
  plat_put (claim->once->plat, ONCE_KIND, claim->name, NULL, claim->spec,
            on_claim_created, claim);
}

void
once_claim (once_t *once, const char *account, const char *key,
            const char *digest,
            void (*done) (void *user, const once_claim_result_t *result),
            void *user)
{
  pending_claim_t *claim = g_new0 (pending_claim_t, 1);

  claim->once = once;
  claim->name = once_make_claim_name (account, key);
  claim->attempt = g_strdup_printf ("%s/%" G_GUINT64_FORMAT, once->owner,
                                    ++once->attempt_count);
  claim->done = done;
  claim->user = user;
  claim->spec = json_object_new ();
  json_object_set_int_member (claim->spec, "schema", 1);
  json_object_set_string_member (claim->spec, "account", account);
  json_object_set_string_member (claim->spec, "attempt", claim->attempt);
  json_object_set_string_member (claim->spec, "digest", digest);
  json_object_set_string_member (claim->spec, "state", ONCE_STATE_RUNNING);
  if (once->retention_s > 0)
    json_object_set_int_member (claim->spec, "kept_s", once->retention_s);
  list_append (&once->pending, &claim->node);
  create_claim (claim);
}

/* ---- end of a request ---- */

/* Removes and returns the running claim NAME; NULL when there is none.  */
static running_claim_t *
take_running (once_t *once, const char *name)
{
  gpointer key = NULL;
  gpointer running = NULL;

  g_hash_table_steal_extended (once->running, name, &key, &running);
  g_free (key);
  return running;
}

static bool
is_storable (const char *body)
{
  return body != NULL && strlen (body) <= ONCE_MAX_ANSWER_BYTES
         && g_utf8_validate (body, -1, NULL);
}

void
once_finish (once_t *once, const char *account, const char *key,
             unsigned status, const char *type, const char *body)
{
  g_autofree char *name = once_make_claim_name (account, key);
  running_claim_t *running = take_running (once, name);

  if (running == NULL)
    return;
  json_object_set_string_member (running->spec, "state", ONCE_STATE_FINISHED);
  json_object_set_int_member (running->spec, "status", status);
  json_object_set_string_member (running->spec, "type",
                                 type == NULL ? "" : type);
  if (is_storable (body))
    json_object_set_string_member (running->spec, "body", body);
  once_jobs_add (&once->jobs, name, running->attempt, running->version,
                 running->spec);
  running_claim_free (running);
}

void
once_release (once_t *once, const char *account, const char *key)
{
  g_autofree char *name = once_make_claim_name (account, key);
  running_claim_t *running = take_running (once, name);

  if (running == NULL)
    return;
  once_jobs_add (&once->jobs, name, running->attempt, running->version, NULL);
  running_claim_free (running);
}

void
once_set_retention_s (once_t *once, int retention_s)
{
  once->retention_s = retention_s;
}

bool
once_has_running_claim (const once_t *once, const char *name)
{
  return g_hash_table_contains (once->running, name);
}

unsigned
once_count_pending_writes (const once_t *once)
{
  return once->jobs.count;
}

once_t *
once_new (plat_t *plat, const char *owner)
{
  once_t *once = g_new0 (once_t, 1);

  once->plat = plat;
  once->owner = g_strdup (owner);
  once->running = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         running_claim_free);
  list_init (&once->pending);
  once_jobs_init (&once->jobs, plat);
  return once;
}

void
once_free (once_t *once)
{
  if (once == NULL)
    return;
  list_for_each_safe (node, &once->pending)
    {
      pending_claim_t *claim = list_entry (node, pending_claim_t, node);

      plat_cancel (once->plat, claim);
      pending_claim_free (claim);
    }
  once_jobs_clear (&once->jobs);
  g_hash_table_unref (once->running);
  g_free (once->owner);
  g_free (once);
}
