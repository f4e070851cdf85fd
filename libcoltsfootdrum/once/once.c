#include "once/once.h"
#include "base/log.h"
#include "once/once-job.h"

#include <sodium.h>
#include <string.h>

#define PART "once"
#define NAME_BYTES 16
/* Writes and reads for one claim before its caller is refused.  */
#define CLAIM_TRIES 3

struct once
{
  plat_t *plat;
  char *owner;
  uint64_t attempts;
  int retention_s;
  GHashTable *held;   /* of held_t by name of the claim */
  list_node_t asking; /* of claim_t */
  once_jobs_t jobs;
};

/* A claim of a request of ours.  */
typedef struct
{
  char *attempt;
  char *version;
  JsonObject *spec;
} held_t;

/* A claim being made.  */
typedef struct
{
  list_node_t node;
  once_t *once;
  char *name;
  char *attempt;
  JsonObject *spec;
  unsigned tries;
  bool in_doubt;      /* a write may have taken effect */
  bool is_other_held; /* a write met a claim that was there */
  void (*done) (void *user, const once_claim_result_t *answer);
  void *user;
} claim_t;

static void try_claim (claim_t *claim);

char *
once_claim_name (const char *account, const char *key)
{
  g_autofree char *text = g_strconcat (account, "\n", key, NULL);
  unsigned char hash[NAME_BYTES];
  char hex[NAME_BYTES * 2 + 1];

  crypto_generichash (hash, sizeof hash, (const unsigned char *)text,
                      strlen (text), NULL, 0);
  sodium_bin2hex (hex, sizeof hex, hash, sizeof hash);
  return g_strdup (hex);
}

static void
held_free (gpointer pointer)
{
  held_t *held = pointer;

  g_free (held->attempt);
  g_free (held->version);
  json_object_unref (held->spec);
  g_free (held);
}

static void
claim_free (claim_t *claim)
{
  list_remove (&claim->node);
  json_object_unref (claim->spec);
  g_free (claim->name);
  g_free (claim->attempt);
  g_free (claim);
}

/* ---- the claim_status ---- */

static void
conclude (claim_t *claim, const once_claim_result_t *answer)
{
  once_t *once = claim->once;

  if (answer->claim_status != ONCE_CLAIMED && claim->in_doubt)
    once_jobs_add (&once->jobs, claim->name, claim->attempt, NULL, NULL);
  claim->done (claim->user, answer);
  claim_free (claim);
}

static void
conclude_plain (claim_t *claim, once_claim_status_t claim_status)
{
  once_claim_result_t answer = { .claim_status = claim_status };

  conclude (claim, &answer);
}

static void
is_mine (claim_t *claim, JsonObject *object)
{
  held_t *held = g_new0 (held_t, 1);

  held->attempt = g_strdup (claim->attempt);
  held->version = g_strdup (once_text (object, "version"));
  held->spec = json_object_ref (claim->spec);
  g_hash_table_replace (claim->once->held, g_strdup (claim->name), held);
  conclude_plain (claim, ONCE_CLAIMED);
}

static void
is_finished (claim_t *claim, JsonObject *spec)
{
  once_claim_result_t answer = { .claim_status = ONCE_FINISHED };

  answer.status = (unsigned)json_object_get_int_member_with_default (
      spec, "status", 200);
  answer.type = once_text (spec, "type");
  if (json_object_has_member (spec, "body"))
    answer.body = once_text (spec, "body");
  conclude (claim, &answer);
}

/* Judges the claim that is there.  */
static void
judge (claim_t *claim, JsonObject *object)
{
  JsonObject *spec = once_spec (object);

  if (spec == NULL)
    conclude_plain (claim, ONCE_RUNNING);
  else if (strcmp (once_text (spec, "attempt"), claim->attempt) == 0)
    is_mine (claim, object);
  else if (strcmp (once_text (spec, "digest"),
                   once_text (claim->spec, "digest"))
           != 0)
    conclude_plain (claim, ONCE_KEY_REUSED);
  else if (strcmp (once_text (spec, "state"), ONCE_STATE_FINISHED) == 0)
    is_finished (claim, spec);
  else if (strcmp (once_text (spec, "state"), ONCE_STATE_UNKNOWN) == 0)
    conclude_plain (claim, ONCE_OUTCOME_UNKNOWN);
  else
    conclude_plain (claim, ONCE_RUNNING);
}

/* The platform gave no word that settles the claim.  When a write met another
   claim, the request may be running there.  */
static void
give_up (claim_t *claim)
{
  conclude_plain (claim,
                  claim->is_other_held ? ONCE_RUNNING : ONCE_PLATFORM_DOWN);
}

/* ---- the calls ---- */

static void
on_read (void *user, plat_status_t status, JsonObject *answer)
{
  claim_t *claim = user;

  if (status == PLAT_OK)
    judge (claim, answer);
  else if (status == PLAT_NOT_FOUND && claim->tries < CLAIM_TRIES)
    try_claim (claim); /* given back meanwhile, or never written */
  else
    give_up (claim);
  g_clear_pointer (&answer, json_object_unref);
}

static void
on_created (void *user, plat_status_t status, JsonObject *answer)
{
  claim_t *claim = user;

  switch (status)
    {
    case PLAT_OK:
      is_mine (claim, answer);
      break;
    case PLAT_CONFLICT:
      claim->is_other_held = true;
      plat_get (claim->once->plat, ONCE_KIND, claim->name, on_read, claim);
      break;
    case PLAT_UNKNOWN:
    case PLAT_BAD:
      claim->in_doubt = true;
      plat_get (claim->once->plat, ONCE_KIND, claim->name, on_read, claim);
      break;
    default:
      give_up (claim);
      break;
    }
  g_clear_pointer (&answer, json_object_unref);
}

static void
try_claim (claim_t *claim)
{
  claim->tries++;
  claim->is_other_held = false;
  plat_put (claim->once->plat, ONCE_KIND, claim->name, NULL, claim->spec,
            on_created, claim);
}

void
once_claim (once_t *once, const char *account, const char *key,
            const char *digest,
            void (*done) (void *user, const once_claim_result_t *answer),
            void *user)
{
  claim_t *claim = g_new0 (claim_t, 1);

  claim->once = once;
  claim->name = once_claim_name (account, key);
  claim->attempt = g_strdup_printf ("%s/%" G_GUINT64_FORMAT, once->owner,
                                    ++once->attempts);
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
  list_append (&once->asking, &claim->node);
  try_claim (claim);
}

/* ---- the end of a request ---- */

/* Takes the claim out of those held, or NULL when it is not.  */
static held_t *
take_held (once_t *once, const char *name)
{
  gpointer key = NULL;
  gpointer held = NULL;

  g_hash_table_steal_extended (once->held, name, &key, &held);
  g_free (key);
  return held;
}

static bool
can_keep (const char *body)
{
  return body != NULL && strlen (body) <= ONCE_MAX_ANSWER_BYTES
         && g_utf8_validate (body, -1, NULL);
}

void
once_finish (once_t *once, const char *account, const char *key,
             unsigned status, const char *type, const char *body)
{
  g_autofree char *name = once_claim_name (account, key);
  held_t *held = take_held (once, name);

  if (held == NULL)
    return;
  json_object_set_string_member (held->spec, "state", ONCE_STATE_FINISHED);
  json_object_set_int_member (held->spec, "status", status);
  json_object_set_string_member (held->spec, "type", type == NULL ? "" : type);
  if (can_keep (body))
    json_object_set_string_member (held->spec, "body", body);
  once_jobs_add (&once->jobs, name, held->attempt, held->version, held->spec);
  held_free (held);
}

void
once_release (once_t *once, const char *account, const char *key)
{
  g_autofree char *name = once_claim_name (account, key);
  held_t *held = take_held (once, name);

  if (held == NULL)
    return;
  once_jobs_add (&once->jobs, name, held->attempt, held->version, NULL);
  held_free (held);
}

void
once_set_retention_s (once_t *once, int retention_s)
{
  once->retention_s = retention_s;
}

bool
once_has_running_claim (const once_t *once, const char *name)
{
  return g_hash_table_contains (once->held, name);
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
  once->held
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, held_free);
  list_init (&once->asking);
  once_jobs_init (&once->jobs, plat);
  return once;
}

void
once_free (once_t *once)
{
  if (once == NULL)
    return;
  list_for_each_safe (node, &once->asking)
    {
      claim_t *claim = list_entry (node, claim_t, node);

      plat_cancel (once->plat, claim);
      claim_free (claim);
    }
  once_jobs_clear (&once->jobs);
  g_hash_table_unref (once->held);
  g_free (once->owner);
  g_free (once);
}
