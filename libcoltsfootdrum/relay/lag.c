/* Loop lag: sums of time by kind of work.  */

#include "relay/lag.h"

#include "admin/prom.h"
#include "base/clock.h"

struct lag
{
  struct ev_loop *loop;
  ev_prepare before_poll;
  ev_check after_poll;
  lag_kind_t kind; /* of the current work */
  int64_t since;   /* when it started, in microseconds */
  lag_sums_t sums;
  int64_t total_us[LAG_KINDS]; /* since the start */
};

static const char *const kind_names[]
    = { "idle",      "accept", "datagrams", "callers", "endpoints",
        "placement", "lists",  "tick",      "other" };

G_STATIC_ASSERT (G_N_ELEMENTS (kind_names) == LAG_KINDS);

static void
switch_kind (lag_t *lag, lag_kind_t kind)
{
  int64_t now = clock_now_us ();

  lag->sums.us[lag->kind] += now - lag->since;
  lag->total_us[lag->kind] += now - lag->since;
  lag->since = now;
  lag->kind = kind;
}

static void
on_poll_begins (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  lag_t *lag = watcher->data;

  lag->sums.turns++;
  switch_kind (lag, LAG_IDLE);
}

static void
on_poll_ended (struct ev_loop *loop, ev_check *watcher, int events)
{
  switch_kind (watcher->data, LAG_OTHER);
}

lag_t *
lag_new (struct ev_loop *loop, int64_t now_us)
{
  lag_t *lag = g_new0 (lag_t, 1);

  lag->loop = loop;
  lag->kind = LAG_OTHER;
  lag->since = now_us;
  ev_prepare_init (&lag->before_poll, on_poll_begins);
  ev_check_init (&lag->after_poll, on_poll_ended);
  lag->before_poll.data = lag;
  lag->after_poll.data = lag;
  /* The last callback before the wait for events, the first after it.  */
  ev_set_priority (&lag->before_poll, EV_MINPRI);
  ev_set_priority (&lag->after_poll, EV_MAXPRI);
  ev_prepare_start (loop, &lag->before_poll);
  ev_check_start (loop, &lag->after_poll);
  return lag;
}

void
lag_free (lag_t *lag)
{
  if (lag == NULL)
    return;
  ev_prepare_stop (lag->loop, &lag->before_poll);
  ev_check_stop (lag->loop, &lag->after_poll);
  g_free (lag);
}

lag_kind_t
lag_enter (lag_t *lag, lag_kind_t kind)
{
  lag_kind_t before;

  if (lag == NULL)
    return LAG_OTHER;
  before = lag->kind;
  if (before != kind)
    switch_kind (lag, kind);
  return before;
}

void
lag_leave (lag_t *lag, lag_kind_t before, unsigned count)
{
  if (lag == NULL)
    return;
  lag->sums.count[lag->kind] += count;
  if (before != lag->kind)
    switch_kind (lag, before);
}

lag_sums_t
lag_take_sums (lag_t *lag)
{
  lag_sums_t sums;

  switch_kind (lag, lag->kind);
  sums = lag->sums;
  lag->sums = (lag_sums_t){ 0 };
  return sums;
}

void
lag_add_sums (lag_sums_t *total, const lag_sums_t *sums)
{
  total->turns += sums->turns;
  for (unsigned i = 0; i < LAG_KINDS; i++)
    {
      total->us[i] += sums->us[i];
      total->count[i] += sums->count[i];
    }
}

int64_t
lag_get_load_delay_ms (const lag_sums_t *sums, int64_t late_ms)
{
  return MAX (late_ms - sums->us[LAG_LISTS] / 1000, 0);
}

void
lag_append_metrics (const lag_t *lag, GString *out)
{
  for (unsigned i = 0; i < LAG_KINDS; i++)
    {
      g_autofree char *labels = g_strdup_printf ("work=\"%s\"", kind_names[i]);

      prom_append_sample (out, "cfd_relay_loop_seconds_total", "counter",
                          labels, (double)lag->total_us[i] / G_USEC_PER_SEC);
    }
}

char *
lag_format (const lag_sums_t *sums)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text, "turns=%u", sums->turns);
  for (unsigned i = 0; i < LAG_KINDS; i++)
    {
      g_string_append_printf (text, " %s_ms=%" G_GINT64_FORMAT, kind_names[i],
                              sums->us[i] / 1000);
      if (sums->count[i] > 0)
        g_string_append_printf (text, " %s_count=%u", kind_names[i],
                                sums->count[i]);
    }
  return g_string_free (text, FALSE);
}
