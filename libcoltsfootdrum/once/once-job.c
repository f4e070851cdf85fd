#include "once/once-job.h"
#include "base/log.h"

#include <string.h>

#define PART "once"
#define MIN_BACKOFF_MS 250
#define MAX_BACKOFF_MS 5000
/* A write whose reply was lost may still take effect after a read that did not
   find it.  The claim is taken as never written only after this number of
   reads, with backoff between them.  */
#define MAX_ABSENT_READS 4

typedef struct
{
  list_node_t node;
  once_jobs_t *jobs;
  char *name;
  char *attempt;
  char *version; /* NULL: read the claim first */
  JsonObject *spec;
  bool is_write_uncertain;
  unsigned absent_reads;
  unsigned tries;
  ev_timer timer;
} once_job_t;

static void run_job (once_job_t *job);

const char *
once_get_text (JsonObject *object, const char *member)
{
  JsonNode *node = json_object_get_member (object, member);

  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_STRING)
    return "";
  return json_node_get_string (node);
}

JsonObject *
once_get_spec (JsonObject *object)
{
  JsonNode *node = json_object_get_member (object, "spec");

  if (node == NULL || !JSON_NODE_HOLDS_OBJECT (node))
    return NULL;
  return json_node_get_object (node);
}

static void
job_free (once_job_t *job)
{
  ev_timer_stop (plat_get_loop (job->jobs->plat), &job->timer);
  list_remove (&job->node);
  job->jobs->count--;
  g_clear_pointer (&job->spec, json_object_unref);
  g_free (job->name);
  g_free (job->attempt);
  g_free (job->version);
  g_free (job);
}

static void
retry_later (once_job_t *job)
{
  struct ev_loop *loop = plat_get_loop (job->jobs->plat);
  unsigned doublings = MIN (job->tries, 10u);
  unsigned max_ms = MIN (MIN_BACKOFF_MS << doublings, MAX_BACKOFF_MS);
  int delay_ms = g_random_int_range ((gint32)max_ms / 2, (gint32)max_ms + 1);

  job->tries++;
  ev_now_update (loop);
  ev_timer_set (&job->timer, delay_ms / 1000.0, 0.0);
  ev_timer_start (loop, &job->timer);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int revents)
{
  run_job (timer->data);
}

/* Handles a claim that does not exist.  */
static void
handle_absent (once_job_t *job)
{
  if (job->is_write_uncertain && ++job->absent_reads < MAX_ABSENT_READS)
    {
      retry_later (job);
      return;
    }
  if (job->spec != NULL)
    log_warn (PART, "A claim was removed while its request ran: claim=%s.",
              job->name);
  job_free (job);
}

/* Handles the claim that was read: the job goes on only if the claim is of its
   own attempt and unfinished.  A claim that was marked unknown meanwhile still
   belongs to this job, which knows its outcome.  */
static void
handle_found (once_job_t *job, JsonObject *object)
{
  JsonObject *spec = once_get_spec (object);

  if (spec == NULL
      || strcmp (once_get_text (spec, "attempt"), job->attempt) != 0
      || strcmp (once_get_text (spec, "state"), ONCE_STATE_FINISHED) == 0)
    {
      job_free (job);
      return;
    }
  g_free (job->version);
  job->version = g_strdup (once_get_text (object, "version"));
  run_job (job);
}

static void
on_read (void *user, plat_status_t status, JsonObject *answer)
{
  once_job_t *job = user;

  if (status == PLAT_OK)
    handle_found (job, answer);
  else if (status == PLAT_NOT_FOUND)
    handle_absent (job);
  else
    retry_later (job);
  g_clear_pointer (&answer, json_object_unref);
}

static void
on_written (void *user, plat_status_t status, JsonObject *answer)
{
  once_job_t *job = user;

  g_clear_pointer (&answer, json_object_unref);
  switch (status)
    {
    case PLAT_OK:
      job_free (job);
      break;
    case PLAT_UNAVAILABLE:
      retry_later (job);
      break;
    default:
      /* The version may be that of this job's own write whose reply was lost:
         read the claim again.  */
      g_clear_pointer (&job->version, g_free);
      retry_later (job);
      break;
    }
}

static void
run_job (once_job_t *job)
{
  plat_t *plat = job->jobs->plat;

  if (job->version == NULL)
    plat_get (plat, ONCE_KIND, job->name, on_read, job);
  else if (job->spec != NULL)
    plat_put (plat, ONCE_KIND, job->name, job->version, job->spec, on_written,
              job);
  else
    plat_delete (plat, ONCE_KIND, job->name, job->version, on_written, job);
}

void
once_jobs_init (once_jobs_t *jobs, plat_t *plat)
{
  jobs->plat = plat;
  jobs->count = 0;
  list_init (&jobs->jobs);
}

void
once_jobs_clear (once_jobs_t *jobs)
{
  list_for_each_safe (node, &jobs->jobs)
    {
      once_job_t *job = list_entry (node, once_job_t, node);

      plat_cancel (jobs->plat, job);
      job_free (job);
    }
}

void
once_jobs_add (once_jobs_t *jobs, const char *name, const char *attempt,
               const char *version, JsonObject *spec)
{
  once_job_t *job = g_new0 (once_job_t, 1);

  job->jobs = jobs;
  job->name = g_strdup (name);
  job->attempt = g_strdup (attempt);
  job->version = g_strdup (version);
  job->spec = spec == NULL ? NULL : json_object_ref (spec);
  job->is_write_uncertain = version == NULL;
  ev_init (&job->timer, on_timer);
  job->timer.data = job;
  list_append (&jobs->jobs, &job->node);
  jobs->count++;
  run_job (job);
}
