/* A good version whose few slow answers come in bursts, since the router or
   its machine stood still for some milliseconds, isn't taken for a bad one. */

#include "relay/vdt.h"

#include <glib.h>

#define TICK_MS 100
#define SPAN_MS 50000
/* Slow answers of one pause, and the time between two of them.  */
#define BURST 4
#define BURST_STEP_MS 8

/* Totals of a rollout of a good version up to its end.  */
typedef struct
{
  const char *name;
  vdt_counts_t target;
  vdt_counts_t baseline;
} trace_t;

static const trace_t traces[] = {
  { "few-answers", { 2582., 6. }, { 41483., 16. } },
  { "better-than-baseline", { 25255., 21. }, { 83319., 105. } },
  { "rare", { 31094., 13. }, { 117670., 69. } },
};

/* Returns the part of TOTAL up to SHARE of the time, spread evenly; bad
   answers count whole.  */
static vdt_counts_t
take_share (const vdt_counts_t *total, double share)
{
  return (vdt_counts_t){ .answers = total->answers * share,
                         .bad = (double)(unsigned)(total->bad * share) };
}

static void
test_trace (gconstpointer data)
{
  const trace_t *trace = data;
  vdt_counts_t before
      = { trace->target.answers - BURST, trace->target.bad - BURST };
  vdt_counts_t baseline = { 0 };
  vdt_counts_t target = { 0 };
  cfd_time_t now;
  vdt_t verdict;

  vdt_init (&verdict, 0);
  for (now = TICK_MS; now <= SPAN_MS; now += TICK_MS)
    {
      double share = (double)now / SPAN_MS;

      baseline = take_share (&trace->baseline, share);
      target = take_share (&before, share);
      g_assert_false (vdt_update (&verdict, now, &baseline, &target));
    }
  for (unsigned i = 0; i < BURST; i++)
    {
      now += BURST_STEP_MS;
      target.answers += 1.;
      target.bad += 1.;
      g_assert_false (vdt_update (&verdict, now, &baseline, &target));
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (traces); i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/vdt-bursts/%s", traces[i].name);

      g_test_add_data_func (path, &traces[i], test_trace);
    }
  return g_test_run ();
}
