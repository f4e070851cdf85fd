#include "ctl/ctl.h"

#include <stdarg.h>
#include <stdio.h>

/* One call whose answer the loop is run for.  */
typedef struct
{
  ctl_t *ctl;
  plat_status_t status;
  JsonObject *answer;
} call_t;

static void
on_done (void *user, plat_status_t status, JsonObject *answer)
{
  call_t *call = user;

  call->status = status;
  call->answer = answer;
  ev_break (call->ctl->loop, EVBREAK_ONE);
}

static plat_status_t
wait_for (call_t *call, JsonObject **answer)
{
  ev_run (call->ctl->loop, 0);
  if (answer != NULL)
    *answer = call->answer;
  else if (call->answer != NULL)
    json_object_unref (call->answer);
  return call->status;
}

plat_status_t
ctl_get (ctl_t *ctl, const char *kind, const char *name, JsonObject **answer)
{
  call_t call = { .ctl = ctl };

  plat_get (ctl->plat, kind, name, on_done, &call);
  return wait_for (&call, answer);
}

plat_status_t
ctl_list (ctl_t *ctl, JsonObject **answer)
{
  call_t call = { .ctl = ctl };

  plat_list (ctl->plat, 0, on_done, &call);
  return wait_for (&call, answer);
}

plat_status_t
ctl_put (ctl_t *ctl, const char *kind, const char *name, const char *version,
         JsonObject *spec, JsonObject **answer)
{
  call_t call = { .ctl = ctl };

  plat_put (ctl->plat, kind, name, version, spec, on_done, &call);
  return wait_for (&call, answer);
}

plat_status_t
ctl_delete (ctl_t *ctl, const char *kind, const char *name,
            const char *version)
{
  call_t call = { .ctl = ctl };

  plat_delete (ctl->plat, kind, name, version, on_done, &call);
  return wait_for (&call, NULL);
}

plat_status_t
ctl_list_instances (ctl_t *ctl, JsonObject **answer)
{
  call_t call = { .ctl = ctl };

  plat_list_instances (ctl->plat, on_done, &call);
  return wait_for (&call, answer);
}

static void
instance_free (gpointer data)
{
  ctl_instance_t *instance = data;

  g_free (instance->name);
  g_free (instance->role);
  g_free (instance->zone);
  g_free (instance->state);
  g_free (instance->admin);
  g_clear_pointer (&instance->page, json_node_unref);
  g_free (instance);
}

typedef struct
{
  ctl_t *ctl;
  unsigned open; /* pages not yet answered */
} pages_t;

typedef struct
{
  pages_t *pages;
  ctl_instance_t *instance;
} page_t;

static void
on_page (void *user, fetch_result_t result, unsigned status, const char *body,
         size_t length, const char *detail)
{
  g_autofree page_t *page = user;

  if (result == FETCH_COMPLETE && status == 200)
    page->instance->page = json_from_string (body, NULL);
  page->pages->open--;
  if (page->pages->open == 0)
    ev_break (page->pages->ctl->loop, EVBREAK_ONE);
}

static void
fetch_page (pages_t *pages, ctl_instance_t *instance, const char *path)
{
  g_autofree char *url
      = g_strdup_printf ("http://%s%s", instance->admin, path);
  page_t *page = g_new0 (page_t, 1);
  fetch_request_t request = {
    .method = "GET",
    .url = url,
    .total_timeout_ms = (unsigned)pages->ctl->timeout_s * 1000,
    .done = on_page,
    .user = page,
  };

  page->pages = pages;
  page->instance = instance;
  pages->open++;
  (void)fetch_start (pages->ctl->pool, &request);
}

static char *
member (JsonObject *object, const char *name, const char *absent)
{
  return g_strdup (
      json_object_get_string_member_with_default (object, name, absent));
}

static ctl_instance_t *
instance_parse (JsonObject *object)
{
  ctl_instance_t *instance = g_new0 (ctl_instance_t, 1);

  instance->name = member (object, "name", "?");
  instance->role = member (object, "role", "?");
  instance->zone = member (object, "zone", "?");
  instance->state = member (object, "state", "?");
  instance->admin = member (object, "admin", NULL);
  return instance;
}

GPtrArray *
ctl_fetch_pages (ctl_t *ctl, const char *path, plat_status_t *status)
{
  g_autoptr (JsonObject) answer = NULL;
  g_autoptr (GPtrArray) instances
      = g_ptr_array_new_with_free_func (instance_free);
  pages_t pages = { ctl, 0 };
  JsonArray *list;

  *status = ctl_list_instances (ctl, &answer);
  if (*status != PLAT_OK)
    return NULL;
  list = json_object_get_array_member (answer, "instances");
  for (unsigned i = 0; list != NULL && i < json_array_get_length (list); i++)
    {
      ctl_instance_t *instance
          = instance_parse (json_array_get_object_element (list, i));

      g_ptr_array_add (instances, instance);
      if (instance->admin != NULL)
        fetch_page (&pages, instance, path);
    }
  if (pages.open > 0)
    ev_run (ctl->loop, 0);
  return g_steal_pointer (&instances);
}

ctl_exit_t
ctl_report_failure (plat_status_t status, const char *what)
{
  switch (status)
    {
    case PLAT_OK:
      return CTL_OK;
    case PLAT_CONFLICT:
      fprintf (stderr,
               "cfdctl: %s: another writer was first; get it and try again\n",
               what);
      return CTL_CONFLICT;
    case PLAT_NOT_FOUND:
      fprintf (stderr, "cfdctl: %s: no such record; see cfdctl list\n", what);
      return CTL_NOT_FOUND;
    case PLAT_OUTCOME_UNKNOWN:
      fprintf (stderr,
               "cfdctl: %s: no answer came, it may have taken effect; "
               "get the record before trying again\n",
               what);
      return CTL_UNAVAILABLE;
    case PLAT_REVISION_EXPIRED:
    case PLAT_UNAVAILABLE:
      fprintf (stderr,
               "cfdctl: %s: the platform does not answer and nothing was "
               "changed; check --platform, try again later\n",
               what);
      return CTL_UNAVAILABLE;
    case PLAT_INVALID_RESPONSE:
      break;
    }
  fprintf (stderr,
           "cfdctl: %s: the answer is not that of the object API; "
           "check --platform\n",
           what);
  return CTL_UNAVAILABLE;
}

ctl_exit_t
ctl_report_usage (const char *format, ...)
{
  g_autofree char *text = NULL;
  va_list args;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  fprintf (stderr, "cfdctl: %s\n", text);
  return CTL_USAGE;
}
