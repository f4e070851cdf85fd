/* Placement, by tables of the load patterns it answers.  */

#include "relay/plc.h"

#include <math.h>

#define WAITS (-1)

typedef struct
{
  const char *name;
  plc_request_t request;
  plc_endpoint_t endpoints[4];
  guint count;
  int chosen;
} case_t;

/* 50 ms to the first token, 100 tokens read a millisecond.  */
#define WISH(left, bear)                                                      \
  {                                                                           \
    .base_ms = 50., .ms_per_work = 0.01, .left_ms = left,                     \
    .max_queueing_ms = bear, .capacity_share = 1., .size = 2000.,             \
    .far_ms = 20., .missing_most = HUGE_VAL                                   \
  }

#define FREE .slots = 64, .memory = 400000.

static const case_t cases[] = {
  { "idle-home",
    WISH (300., 150.),
    { { FREE, .own = 800. }, { FREE, .own = 800., .home = true } },
    2,
    1 },
  /* Bytes between availability zones are paid for.  */
  { "near-first",
    WISH (300., 150.),
    { { FREE, .own = 800., .far = true, .home = true },
      { FREE, .own = 800. } },
    2,
    1 },
  /* A long beginning that is kept far away is not read again for that.  */
  { "kept-far-away",
    WISH (600., 300.),
    { { FREE, .own = 7000., .far = true },
      { FREE, .own = 12000., .missing = 5000. } },
    2,
    0 },
  /* A long prompt is being read at the home: a short request goes where its
     first token comes in time.  */
  { "behind-a-long-prompt",
    WISH (300., 150.),
    { { FREE, .own = 800., .pending_prefill = 50000., .home = true },
      { FREE, .own = 800., .pending_prefill = 2000. } },
    2,
    1 },
  /* The kept beginning saves more time than the shorter queue.  */
  { "kept-beginning",
    WISH (600., 300.),
    { { FREE, .own = 7000., .pending_prefill = 6000. },
      { FREE, .own = 12000., .missing = 5000. } },
    2,
    0 },
  { "kept-but-far-behind",
    WISH (600., 300.),
    { { FREE, .own = 7000., .pending_prefill = 32000. },
      { FREE, .own = 12000., .missing = 5000. } },
    2,
    1 },
  /* A copy of the prefix is faster than the queue where it is cached.  */
  { "copied-prefix",
    WISH (600., 300.),
    { { FREE, .own = 7000., .pending_prefill = 28000. },
      { FREE, .own = 7000., .fetch_ms = 20. } },
    2,
    1 },
  { "slow-copy",
    WISH (600., 300.),
    { { FREE, .own = 7000., .pending_prefill = 3000. },
      { FREE, .own = 7000., .fetch_ms = 90. } },
    2,
    0 },
  { "all-behind",
    WISH (300., 150.),
    { { FREE, .own = 800., .pending_prefill = 40000. },
      { FREE, .own = 800., .pending_prefill = 30000. } },
    2,
    WAITS },
  { "all-slots-taken",
    WISH (300., 150.),
    { { FREE, .own = 800., .active = 64 } },
    1,
    WAITS },
  { "memory-full",
    WISH (300., 150.),
    { { FREE, .own = 800., .active = 9, .context_tokens = 339000. } },
    1,
    WAITS },
  /* Larger than all memory: an idle endpoint takes it all the same.  */
  { "memory-alone",
    { .base_ms = 50.,
      .ms_per_work = 0.01,
      .left_ms = 600.,
      .max_queueing_ms = 300.,
      .capacity_share = 1.,
      .size = 900000. },
    { { FREE, .own = 800. } },
    1,
    0 },
  /* It can't be in time anywhere, and goes where little is before it.  */
  { "longer-than-the-aim",
    WISH (600., 300.),
    { { FREE, .own = 80000., .pending_prefill = 25000. },
      { FREE, .own = 80000., .pending_prefill = 10000. } },
    2,
    1 },
  { "longer-than-the-aim-waits",
    WISH (600., 300.),
    { { FREE, .own = 80000., .pending_prefill = 25000. } },
    1,
    WAITS },
  { "plain-least-active",
    { .left_ms = 150., .max_queueing_ms = HUGE_VAL, .capacity_share = 1. },
    { { .active = 3, .slots = 6 },
      { .active = 1, .slots = 6 },
      { .active = 2, .slots = 6 } },
    3,
    1 },
  { "plain-full",
    { .left_ms = 150., .max_queueing_ms = HUGE_VAL, .capacity_share = 1. },
    { { .active = 6, .slots = 6 } },
    1,
    WAITS },
  /* An account above its share leaves a part of the slots to others.  */
  { "held-back",
    { .base_ms = 50.,
      .ms_per_work = 0.01,
      .left_ms = 300.,
      .max_queueing_ms = 30.,
      .capacity_share = 0.75,
      .size = 2000. },
    { { FREE, .own = 800., .active = 50 },
      { FREE, .own = 800., .active = 40, .pending_prefill = 2000. } },
    2,
    1 },
  { "held-back-waits",
    { .base_ms = 50.,
      .ms_per_work = 0.01,
      .left_ms = 300.,
      .max_queueing_ms = 30.,
      .capacity_share = 0.75,
      .size = 2000. },
    { { FREE, .own = 800., .active = 40, .pending_prefill = 4000. } },
    1,
    WAITS },
  /* An endpoint keeps the beginning, and is full: it is waited for, for a slot
     elsewhere would cost reading the beginning there.  */
  { "waits-for-its-beginning",
    { .base_ms = 50.,
      .ms_per_work = 0.01,
      .left_ms = 600.,
      .max_queueing_ms = 300.,
      .capacity_share = 1.,
      .size = 2000.,
      .missing_most = 500. },
    { { FREE, .own = 7000., .active = 64 },
      { FREE, .own = 12000., .missing = 5000., .active = 30 } },
    2,
    WAITS },
  { "nearly-idle-instead",
    { .base_ms = 50.,
      .ms_per_work = 0.01,
      .left_ms = 600.,
      .max_queueing_ms = 300.,
      .capacity_share = 1.,
      .size = 2000.,
      .missing_most = 500. },
    { { FREE, .own = 7000., .active = 64 },
      { FREE, .own = 12000., .missing = 5000., .active = 2 } },
    2,
    1 },
  { "none", WISH (300., 150.), { { 0 } }, 0, WAITS },
};

static void
test_case (const void *data)
{
  const case_t *one = data;

  g_assert_cmpint (plc_choose (one->endpoints, one->count, &one->request), ==,
                   one->chosen);
  if (one->chosen != WAITS)
    g_assert_true (plc_may_place (one->endpoints, one->count, &one->request));
}

/* Routers that know the same choose among equal endpoints at random, so that a
   burst doesn't meet the first of the list.  */
static void
test_ties (void)
{
  plc_endpoint_t endpoints[4];
  plc_request_t request = WISH (300., 150.);
  unsigned chosen = 0;

  for (guint i = 0; i < 4; i++)
    endpoints[i] = (plc_endpoint_t){ FREE, .own = 800. };
  for (guint i = 0; i < 4; i++)
    {
      request.draw = (i + 0.5) / 4.;
      chosen |= 1u << plc_choose (endpoints, 4, &request);
    }
  g_assert_cmpuint (chosen, ==, 0xf);
}

static void
test_reading (void)
{
  g_assert_cmpfloat (plc_reading (1000., 1000.), ==, 0.);
  g_assert_cmpfloat (plc_reading (1000., 0.), >, 1000.);
  /* The end of a long prompt is read together with all before it.  */
  g_assert_cmpfloat (plc_reading (50000., 49000.), >,
                     2. * plc_reading (1000., 0.));
}

/* Full slots, full memory and work before its own are seen without a look at
   what endpoints cache.  */
static void
test_all_full (void)
{
  plc_request_t request = WISH (300., 150.);
  plc_endpoint_t endpoints[3]
      = { { .slots = 4, .active = 4 },
          { FREE, .active = 1, .context_tokens = 399000. },
          { FREE, .pending_prefill = 15001. } };

  g_assert_false (plc_may_place (endpoints, 3, &request));
  endpoints[2].pending_prefill = 15000.;
  g_assert_true (plc_may_place (endpoints, 3, &request));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *path = g_strdup_printf ("/plc/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_case);
    }
  g_test_add_func ("/plc/ties", test_ties);
  g_test_add_func ("/plc/reading", test_reading);
  g_test_add_func ("/plc/all-full", test_all_full);
  return g_test_run ();
}
