/* The relay of requests: requests whose exchange broke, until it is known
   whether their endpoint's process ended under them.  */

#include "relay/rly-private.h"

#include "base/log.h"
#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

/* Limits the memory while many endpoints fail: some 100 bytes each.  */
#define MAX_BREAKS 4096
/* Time in which an endpoint's other connections close, if its process
   ended.  */
#define CLOSE_MS 40
/* Of a prompt, for the log.  */
#define MAX_LOGGED_PROMPT 240

typedef struct
{
  list_node_t node;
  uint64_t endpoint; /* edp_t.hash */
  char *request;     /* id of the attempt */
  uint64_t key;      /* rly_request_t.content_key */
  cfd_time_t sent_at;
  cfd_time_t broke_at;
  unsigned events; /* of its answer, received from this endpoint */
  char *prompt;    /* the first parts, as the caller gave them */
  GArray *parts;   /* NULL: the end doesn't count against them */
} rly_break_t;

static void
break_free (rly_t *rly, rly_break_t *broken)
{
  list_remove (&broken->node);
  rly->break_count--;
  g_free (broken->request);
  g_free (broken->prompt);
  if (broken->parts != NULL)
    g_array_unref (broken->parts);
  g_free (broken);
}

static uint64_t
hash_text (const char *text, uint64_t seed)
{
  return text != NULL ? XXH3_64bits_withSeed (text, strlen (text), seed)
                      : seed;
}

uint64_t
rly_compute_content_key (const rly_request_t *request)
{
  const rd_head_t *head = ent_get_head (request->call);
  const GByteArray *body = ent_get_body (request->call);
  const char *prompt = hdr_get (&head->fields, request->rly->names.prompt);
  uint64_t key = hash_text (rly_get_account_name (request), 0);

  key = hash_text (head->method, key);
  key = hash_text (head->target, key);
  key = hash_text (prompt, key);
  key = XXH3_64bits_withSeed (body->data, body->len, key);
  return qua_make_key (key, prompt == NULL && body->len == 0);
}

static char *
copy_prompt (const rly_request_t *request)
{
  const char *prompt = hdr_get (&ent_get_head (request->call)->fields,
                                request->rly->names.prompt);

  /* A space would end the value in the log.  */
  return g_strcanon (
      g_strndup (prompt != NULL ? prompt : "", MAX_LOGGED_PROMPT),
      G_CSET_A_2_Z G_CSET_a_2_z G_CSET_DIGITS ":,", '_');
}

/* AT is when the endpoint ended, if it did.  */
static void
add_break (rly_request_t *request, cfd_time_t at)
{
  rly_t *rly = request->rly;
  rly_break_t *broken = g_new0 (rly_break_t, 1);

  if (rly->break_count == MAX_BREAKS)
    break_free (rly, list_entry (rly->breaks.next, rly_break_t, node));
  broken->endpoint = request->edp->hash;
  broken->request = g_strdup (request->id);
  broken->key = request->content_key;
  broken->sent_at = request->sent_at;
  broken->broke_at = at;
  broken->events = request->answer.events.events - request->events_before;
  broken->prompt = copy_prompt (request);
  /* A bad version may end under any prompt.  */
  if (request->parts != NULL && !request->went_on && !request->is_canary)
    broken->parts = g_array_ref (request->parts);
  list_init (&broken->node);
  list_append (&rly->breaks, &broken->node);
  rly->break_count++;
}

/* Returns whether an exchange that ended like this may have been ended by the
   end of the endpoint's process.  */
static bool
may_be_process_end (end_kind_t kind)
{
  switch (kind)
    {
    case END_NO_EVENT:
    case END_SPLIT_EVENT:
    case END_TRUNCATED:
    case END_RESET:
    case END_NO_ANSWER:
    case END_TIMED_OUT:
      return true;
    case END_LENGTH:
    case END_CHUNKS:
    case END_CLOSE:
    case END_MALFORMED:
    case END_NOT_CONNECTED:
    case END_KINDS:
      break;
    }
  return false;
}

void
rly_note_break (rly_request_t *request, end_kind_t kind, cfd_time_t now)
{
  edp_t *edp = request->edp;
  bool is_silent = kind == END_TIMED_OUT;

  /* One that leaves ends soon, whatever it runs.  */
  if (!may_be_process_end (kind) || edp->report->leaving
      || edp->has_announced_leaving)
    return;
  /* A silent one ended at some time after its last answer, which may have been
     before the request was sent.  */
  if (!is_silent)
    add_break (request, now);
  else if (edp->last_answer_at > request->sent_at)
    add_break (request, edp->last_answer_at);
  edp_set_note_break (request->rly->endpoints, edp, now, is_silent);
}

static void
settle_one (rly_t *rly, const rly_break_t *broken, edp_t *edp, cfd_time_t now)
{
  const qua_event_t end = { .request = broken->key,
                            .endpoint = edp->hash,
                            .sent_at = broken->sent_at,
                            .at = broken->broke_at };

  log_info ("relay",
            "A request ran as its endpoint ended: request=%s key=%010" PRIx64
            " endpoint=%s events=%u ran_ms=%" G_GINT64_FORMAT " cold=%d "
            "prompt=%s.",
            broken->request, broken->key, edp->report->id, broken->events,
            broken->broke_at - broken->sent_at, edp_is_cold (edp, now),
            broken->prompt);
  rly_add_end (rly, now, &end, edp);
  rly_add_part_ends (rly, now, broken->parts, &end);
}

/* Ends the requests whose answers from EDP were closed, and for which it was
   asked.  */
static void
settle_closed (rly_t *rly, const edp_t *edp, bool has_ended, cfd_time_t now)
{
  list_for_each_safe (node, &rly->running)
    {
      rly_request_t *request = list_entry (node, rly_request_t, node);

      if (request->edp == edp && request->closed_is_probed)
        rly_settle_closed (request, has_ended, now);
    }
}

void
rly_check_closed (rly_request_t *request, cfd_time_t now)
{
  edp_t *edp = request->edp;
  bool is_due = now - request->closed_at >= CLOSE_MS;

  /* One that leaves ends its answers before it ends, and isn't asked.  */
  if (edp->report->leaving
      || (is_due
          && ups_has_connection_from_before (edp->ups, request->closed_at)))
    rly_settle_closed (request, false, now);
  else if (rly_is_past_deadline (request, now))
    rly_fail (request, 504, "timeout");
  else if (is_due && !request->closed_is_probed)
    {
      request->closed_is_probed = true;
      edp_set_note_break (request->rly->endpoints, edp, now, false);
    }
}

void
rly_settle_breaks (void *user, edp_t *edp, bool has_ended, cfd_time_t first_at)
{
  rly_t *rly = user;

  settle_closed (rly, edp, has_ended, clock_now ());
  list_for_each_safe (node, &rly->breaks)
    {
      rly_break_t *broken = list_entry (node, rly_break_t, node);

      if (broken->endpoint != edp->hash)
        continue;
      if (has_ended)
        settle_one (rly, broken, edp, clock_now ());
      break_free (rly, broken);
    }
  rly_decide_parts (rly, clock_now ());
}

void
rly_clear_breaks (rly_t *rly)
{
  list_for_each_safe (node, &rly->breaks)
    {
      break_free (rly, list_entry (node, rly_break_t, node));
    }
}
