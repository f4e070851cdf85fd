/* zone, status: what the daemons' admin pages tell.  */

#include "ctl/ctl.h"

#include "base/clock.h"

#include <stdio.h>

#define ZONE_POLL_S 0.2

static const char *
text_member (JsonObject *object, const char *name)
{
  return json_object_get_string_member_with_default (object, name, "");
}

static gint64
number_member (JsonObject *object, const char *name)
{
  return json_object_get_int_member_with_default (object, name, 0);
}

static gint64
page_revision (const ctl_instance_t *instance)
{
  if (instance->page == NULL || !JSON_NODE_HOLDS_OBJECT (instance->page))
    return -1;
  return json_object_get_int_member_with_default (
      json_node_get_object (instance->page), "revision", -1);
}

/* ---- zone out, zone in ---- */

static void
on_pause_end (struct ev_loop *loop, ev_timer *timer, int events)
{
  ev_break (loop, EVBREAK_ONE);
}

static void
pause_for (ctl_t *ctl, double seconds)
{
  ev_timer timer;

  ev_timer_init (&timer, on_pause_end, seconds, 0.);
  ev_timer_start (ctl->loop, &timer);
  ev_run (ctl->loop, 0);
  ev_timer_stop (ctl->loop, &timer);
}

/* How many instances are behind REVISION or silent; their names go to LATE.
   An instance without an admin address can't be asked and counts as late.  */
static unsigned
count_late (const GPtrArray *instances, gint64 revision, GString *late)
{
  unsigned count = 0;

  g_string_truncate (late, 0);
  for (unsigned i = 0; i < instances->len; i++)
    {
      const ctl_instance_t *instance = g_ptr_array_index (instances, i);

      if (page_revision (instance) >= revision)
        continue;
      count++;
      g_string_append_printf (late, " %s", instance->name);
    }
  return count;
}

static void
print_in_force (const ctl_t *ctl, const char *zone, gint64 revision,
                unsigned instances, cfd_time_t taken)
{
  const char *format = ctl->json
                           ? "{\"zone\":\"%s\",\"revision\":%" G_GINT64_FORMAT
                             ",\"instances\":%u,\"seconds\":%.1f}\n"
                           : "zone %s: revision %" G_GINT64_FORMAT
                             " is in force at all %u instances after %.1f s\n";

  printf (format, zone, revision, instances, (double)taken / 1000);
}

static ctl_exit_t
wait_in_force (ctl_t *ctl, const char *zone, gint64 revision)
{
  cfd_time_t start = clock_now ();
  cfd_time_t deadline = start + (cfd_time_t)ctl->deadline_s * 1000;
  g_autoptr (GString) late = g_string_new (NULL);

  for (;;)
    {
      plat_status_t status;
      g_autoptr (GPtrArray) pages = ctl_fetch_pages (ctl, "/status", &status);
      cfd_time_t now = clock_now ();

      if (pages != NULL && count_late (pages, revision, late) == 0)
        {
          print_in_force (ctl, zone, revision, pages->len, now - start);
          return CTL_OK;
        }
      if (now >= deadline)
        break;
      pause_for (ctl, ZONE_POLL_S);
    }
  fprintf (stderr,
           "cfdctl: zone %s: the change is written, but not known to be in "
           "force after %d s at:%s; they stop new work by themselves when cut "
           "off; see cfdctl status\n",
           zone, ctl->deadline_s, late->str);
  return CTL_DEADLINE;
}

static void
put_state (JsonObject *spec, bool out)
{
  if (json_object_get_int_member_with_default (spec, "schema", 1) == 1)
    json_object_set_boolean_member (spec, "out", out);
  else
    json_object_set_string_member (spec, "state", out ? "out" : "in");
}

ctl_exit_t
ctl_cmd_zone (ctl_t *ctl, int count, char **args)
{
  g_autoptr (JsonObject) object = NULL;
  g_autoptr (JsonObject) written = NULL;
  JsonObject *spec;
  plat_status_t status;
  bool out;

  if (count != 2
      || (!g_str_equal (args[0], "out") && !g_str_equal (args[0], "in")))
    return ctl_report_usage ("zone takes out|in NAME");
  out = g_str_equal (args[0], "out");
  status = ctl_get (ctl, "availability-zone", args[1], &object);
  if (status != PLAT_OK)
    return ctl_report_failure (status, args[1]);
  spec = json_object_get_object_member (object, "spec");
  put_state (spec, out);
  status = ctl_put (ctl, "availability-zone", args[1],
                    text_member (object, "version"), spec, &written);
  if (status != PLAT_OK)
    return ctl_report_failure (status, args[1]);
  return wait_in_force (ctl, args[1],
                        json_object_get_int_member (written, "revision"));
}

/* ---- status ---- */

static void
print_status_json (const ctl_instance_t *instance)
{
  g_autofree char *page = instance->page != NULL
                              ? json_to_string (instance->page, FALSE)
                              : g_strdup ("null");

  printf ("{\"instance\":\"%s\",\"state\":\"%s\",\"page\":%s}\n",
          instance->name, instance->state, page);
}

static void
print_status_line (const ctl_instance_t *instance)
{
  JsonObject *page;
  const char *limit;

  printf ("%-16s %-7s %-12s %-8s", instance->name, instance->role,
          instance->zone, instance->state);
  if (instance->page == NULL || !JSON_NODE_HOLDS_OBJECT (instance->page))
    {
      puts (instance->admin != NULL ? " no answer" : " no admin address");
      return;
    }
  page = json_node_get_object (instance->page);
  limit = text_member (page, "limit");
  printf (
      " %s revision=%" G_GINT64_FORMAT " age_ms=%" G_GINT64_FORMAT
      " platform=%s waiting=%" G_GINT64_FORMAT " in_flight=%" G_GINT64_FORMAT,
      json_object_get_boolean_member_with_default (page, "ready", FALSE)
          ? "ready"
          : "not-ready",
      number_member (page, "revision"), number_member (page, "config_age_ms"),
      json_object_get_boolean_member_with_default (page, "platform_up", FALSE)
          ? "up"
          : "down",
      number_member (page, "waiting"), number_member (page, "in_flight"));
  if (*limit != '\0')
    printf (" slots=%" G_GINT64_FORMAT " limit=%s",
            number_member (page, "slots"), limit);
  if (*text_member (page, "why_not") != '\0')
    printf (" why-not=%s", text_member (page, "why_not"));
  puts ("");
}

static void
print_status (const ctl_t *ctl, const ctl_instance_t *instance)
{
  if (ctl->json)
    print_status_json (instance);
  else
    print_status_line (instance);
}

ctl_exit_t
ctl_cmd_status (ctl_t *ctl, int count, char **args)
{
  plat_status_t status;
  g_autoptr (GPtrArray) pages = NULL;

  if (count != 0)
    return ctl_report_usage ("status takes no words");
  pages = ctl_fetch_pages (ctl, "/status", &status);
  if (pages == NULL)
    return ctl_report_failure (status, "status");
  for (unsigned i = 0; i < pages->len; i++)
    print_status (ctl, g_ptr_array_index (pages, i));
  return CTL_OK;
}
