/* Placement: tables of load patterns and the endpoint that must be chosen.  */

#include "relay/plc.h"

#include <math.h>

#define NO_ENDPOINT (-1)

typedef struct
{
  const char *name;
  plc_request_t request;
  plc_endpoint_t endpoints[4];
  guint count;
  int chosen;
} case_t;

/* 50 ms to the first token, 100 tokens of prefill a millisecond.  */
#define REQUEST(time_left, max_queueing)                                      \
  {                                                                           \
    .base_ms = 50., .ms_per_token = 0.01, .time_left_ms = time_left,          \
    .max_queueing_ms = max_queueing, .capacity_share = 1.,                    \
    .needed_tokens = 2000., .other_zone_cost_ms = 20.,                        \
    .max_missing_tokens = HUGE_VAL                                            \
  }

/* The same for a request whose work is limited by pauses.  */
#define LIMITED(time_left, max_queueing, share)                               \
  {                                                                           \
    .base_ms = 50., .ms_per_token = 0.01, .time_left_ms = time_left,          \
    .max_queueing_ms = max_queueing, .capacity_share = 1.,                    \
    .needed_tokens = 2000., .max_missing_tokens = HUGE_VAL,                   \
    .budget_share = share, .max_budget = 30000.                               \
  }
/* Endpoints of average and of half the speed, which run streams.  */
#define FAST_ENDPOINT                                                         \
  .slots = 64, .kv_capacity_tokens = 400000., .active = 9, .slowness = 1.,    \
  .prefill_budget = 30000.
#define SLOW_ENDPOINT                                                         \
  .slots = 64, .kv_capacity_tokens = 400000., .active = 9, .slowness = 2.,    \
  .prefill_budget = 13500.

/* Of average speed, and with streams whose pauses aren't limited.  */
#define UNLIMITED .slowness = 1., .prefill_budget = HUGE_VAL
#define FREE_ENDPOINT .slots = 64, .kv_capacity_tokens = 400000., UNLIMITED

static const case_t cases[] = {
  { "idle-home",
    REQUEST (300., 150.),
    { { FREE_ENDPOINT, .own_prefill = 800. },
      { FREE_ENDPOINT, .own_prefill = 800., .is_preferred = true } },
    2,
    1 },
  /* Traffic between availability zones is billed.  */
  { "own-zone-first",
    REQUEST (300., 150.),
    { { FREE_ENDPOINT, .own_prefill = 800., .in_other_zone = true,
        .is_preferred = true },
      { FREE_ENDPOINT, .own_prefill = 800. } },
    2,
    1 },
  /* The cost of another availability zone does not outweigh the prefill of a
     long prefix.  */
  { "cached-in-other-zone",
    REQUEST (600., 300.),
    { { FREE_ENDPOINT, .own_prefill = 7000., .in_other_zone = true },
      { FREE_ENDPOINT, .own_prefill = 12000., .missing_tokens = 5000. } },
    2,
    0 },
  /* The preferred endpoint is prefilling a long prompt: a short request goes
     where its first token is in time.  */
  { "behind-a-long-prompt",
    REQUEST (300., 150.),
    { { FREE_ENDPOINT, .own_prefill = 800., .pending_prefill = 50000.,
        .is_preferred = true },
      { FREE_ENDPOINT, .own_prefill = 800., .pending_prefill = 2000. } },
    2,
    1 },
  /* The cached prefix saves more time than the shorter queue.  */
  { "cached-prefix",
    REQUEST (600., 300.),
    { { FREE_ENDPOINT, .own_prefill = 7000., .pending_prefill = 6000. },
      { FREE_ENDPOINT, .own_prefill = 12000., .missing_tokens = 5000. } },
    2,
    0 },
  { "cached-behind-long-queue",
    REQUEST (600., 300.),
    { { FREE_ENDPOINT, .own_prefill = 7000., .pending_prefill = 32000. },
      { FREE_ENDPOINT, .own_prefill = 12000., .missing_tokens = 5000. } },
    2,
    1 },
  /* A copy of the prefix is faster than the queue where it is cached.  */
  { "copied-prefix",
    REQUEST (600., 300.),
    { { FREE_ENDPOINT, .own_prefill = 7000., .pending_prefill = 28000. },
      { FREE_ENDPOINT, .own_prefill = 7000., .fetch_ms = 20. } },
    2,
    1 },
  { "slow-copy",
    REQUEST (600., 300.),
    { { FREE_ENDPOINT, .own_prefill = 7000., .pending_prefill = 3000. },
      { FREE_ENDPOINT, .own_prefill = 7000., .fetch_ms = 90. } },
    2,
    0 },
  { "all-queues-too-long",
    REQUEST (300., 150.),
    { { FREE_ENDPOINT, .own_prefill = 800., .pending_prefill = 40000. },
      { FREE_ENDPOINT, .own_prefill = 800., .pending_prefill = 30000. } },
    2,
    NO_ENDPOINT },
  { "excluded",
    REQUEST (300., 150.),
    { { FREE_ENDPOINT, .own_prefill = 800., .is_excluded = true },
      { FREE_ENDPOINT, .own_prefill = 800., .active = 60 } },
    2,
    1 },
  { "all-slots-taken",
    REQUEST (300., 150.),
    { { FREE_ENDPOINT, .own_prefill = 800., .active = 64 } },
    1,
    NO_ENDPOINT },
  { "memory-full",
    REQUEST (300., 150.),
    { { FREE_ENDPOINT, .own_prefill = 800., .active = 9,
        .context_tokens = 339000. } },
    1,
    NO_ENDPOINT },
  /* An idle endpoint gets even a request larger than its KV cache.  */
  { "larger-than-memory",
    { .base_ms = 50.,
      .ms_per_token = 0.01,
      .time_left_ms = 600.,
      .max_queueing_ms = 300.,
      .capacity_share = 1.,
      .needed_tokens = 900000. },
    { { FREE_ENDPOINT, .own_prefill = 800. } },
    1,
    0 },
  /* The prompt can't be in time anywhere and goes to a short queue.  */
  { "longer-than-the-target",
    REQUEST (600., 300.),
    { { FREE_ENDPOINT, .own_prefill = 80000., .pending_prefill = 25000. },
      { FREE_ENDPOINT, .own_prefill = 80000., .pending_prefill = 10000. } },
    2,
    1 },
  { "longer-than-the-target-waits",
    REQUEST (600., 300.),
    { { FREE_ENDPOINT, .own_prefill = 80000., .pending_prefill = 25000. } },
    1,
    NO_ENDPOINT },
  { "plain-least-active",
    { .time_left_ms = 150.,
      .max_queueing_ms = HUGE_VAL,
      .capacity_share = 1. },
    { { .active = 3, .slots = 6, UNLIMITED },
      { .active = 1, .slots = 6, UNLIMITED },
      { .active = 2, .slots = 6, UNLIMITED } },
    3,
    1 },
  { "plain-full",
    { .time_left_ms = 150.,
      .max_queueing_ms = HUGE_VAL,
      .capacity_share = 1. },
    { { .active = 6, .slots = 6, UNLIMITED } },
    1,
    NO_ENDPOINT },
  /* An account above its fair share leaves some of the slots to others.  */
  { "held-back",
    { .base_ms = 50.,
      .ms_per_token = 0.01,
      .time_left_ms = 300.,
      .max_queueing_ms = 30.,
      .capacity_share = 0.75,
      .needed_tokens = 2000. },
    { { FREE_ENDPOINT, .own_prefill = 800., .active = 50 },
      { FREE_ENDPOINT, .own_prefill = 800., .active = 40,
        .pending_prefill = 2000. } },
    2,
    1 },
  { "held-back-waits",
    { .base_ms = 50.,
      .ms_per_token = 0.01,
      .time_left_ms = 300.,
      .max_queueing_ms = 30.,
      .capacity_share = 0.75,
      .needed_tokens = 2000. },
    { { FREE_ENDPOINT, .own_prefill = 800., .active = 40,
        .pending_prefill = 4000. } },
    1,
    NO_ENDPOINT },
  /* The endpoint that caches the prefix is full.  The request waits for it,
     since any other endpoint would have to prefill the prefix again.  */
  { "waits-for-its-prefix",
    { .base_ms = 50.,
      .ms_per_token = 0.01,
      .time_left_ms = 600.,
      .max_queueing_ms = 300.,
      .capacity_share = 1.,
      .needed_tokens = 2000.,
      .max_missing_tokens = 500. },
    { { FREE_ENDPOINT, .own_prefill = 7000., .active = 64 },
      { FREE_ENDPOINT, .own_prefill = 12000., .missing_tokens = 5000.,
        .active = 30 } },
    2,
    NO_ENDPOINT },
  { "nearly-idle-instead",
    { .base_ms = 50.,
      .ms_per_token = 0.01,
      .time_left_ms = 600.,
      .max_queueing_ms = 300.,
      .capacity_share = 1.,
      .needed_tokens = 2000.,
      .max_missing_tokens = 500. },
    { { FREE_ENDPOINT, .own_prefill = 7000., .active = 64 },
      { FREE_ENDPOINT, .own_prefill = 12000., .missing_tokens = 5000.,
        .active = 2 } },
    2,
    1 },
  /* Guards against long prompts at a slow endpoint, whose streams would pause
     for too long.  A short prompt may go there.  */
  { "slow-gets-no-long-prompt",
    LIMITED (900., 450., 1.),
    { { SLOW_ENDPOINT, .own_prefill = 14900. },
      { FAST_ENDPOINT, .own_prefill = 14900., .pending_prefill = 14000. } },
    2,
    1 },
  { "slow-gets-short-prompt",
    LIMITED (900., 450., 1.),
    { { SLOW_ENDPOINT, .own_prefill = 840. },
      { FAST_ENDPOINT, .own_prefill = 840., .pending_prefill = 14000. } },
    2,
    0 },
  /* The first token is expected by the endpoint's own speed: 50 + 2 x 120 ms
     exceed the time left.  */
  { "slow-is-late",
    LIMITED (250., 200., 1.),
    { { SLOW_ENDPOINT, .own_prefill = 12000. },
      { FAST_ENDPOINT, .own_prefill = 12000., .pending_prefill = 5000. } },
    2,
    1 },
  /* Finished work delayed the streams as much as pending work will.  */
  { "recent-work-counts",
    LIMITED (900., 450., 1.),
    { { FAST_ENDPOINT, .own_prefill = 2480., .recent_prefill = 28000. },
      { FAST_ENDPOINT, .own_prefill = 2480., .pending_prefill = 20000. } },
    2,
    1 },
  { "recent-work-waits",
    LIMITED (900., 450., 1.),
    { { FAST_ENDPOINT, .own_prefill = 2480., .recent_prefill = 28000. } },
    1,
    NO_ENDPOINT },
  /* An endpoint without streams has none that could pause.  */
  { "no-streams",
    LIMITED (900., 450., 1.),
    { { FAST_ENDPOINT, .own_prefill = 2480., .pending_prefill = 29000. },
      { .slots = 64,
        .kv_capacity_tokens = 400000.,
        .slowness = 2.,
        .prefill_budget = 13500.,
        .own_prefill = 14900.,
        .recent_prefill = 90000. } },
    2,
    1 },
  /* No budget can hold the prompt.  It must not wait for ever, and goes to a
     fast endpoint where little else is prefilled.  */
  { "outsized-prompt",
    LIMITED (900., 450., 1.),
    { { SLOW_ENDPOINT, .own_prefill = 70000. },
      { FAST_ENDPOINT, .own_prefill = 70000., .pending_prefill = 15100. },
      { FAST_ENDPOINT, .own_prefill = 70000., .pending_prefill = 14900. } },
    3,
    2 },
  { "outsized-prompt-waits",
    LIMITED (900., 450., 1.),
    { { SLOW_ENDPOINT, .own_prefill = 70000. },
      { FAST_ENDPOINT, .own_prefill = 70000., .pending_prefill = 15100. } },
    2,
    NO_ENDPOINT },
  /* An account above the fair level leaves room, so that the prompts of the
     others needn't wait.  */
  { "above-the-level-leaves-room",
    LIMITED (900., 450., 0.4),
    { { FAST_ENDPOINT, .own_prefill = 2480., .pending_prefill = 10000. } },
    1,
    NO_ENDPOINT },
  { "others-find-that-room",
    LIMITED (900., 450., 1.),
    { { FAST_ENDPOINT, .own_prefill = 2480., .pending_prefill = 10000. } },
    1,
    0 },
  { "no-endpoints", REQUEST (300., 150.), { { 0 } }, 0, NO_ENDPOINT },
};

static void
test_case (const void *data)
{
  const case_t *one = data;

  g_assert_cmpint (
      plc_choose_endpoint (one->endpoints, one->count, &one->request), ==,
      one->chosen);
  if (one->chosen != NO_ENDPOINT)
    g_assert_true (
        plc_has_candidate (one->endpoints, one->count, &one->request));
}

/* Ties are broken at random, so that routers with the same information don't
   all send a burst to the first endpoint of the list.  */
static void
test_ties (void)
{
  plc_endpoint_t endpoints[4];
  plc_request_t request = REQUEST (300., 150.);
  unsigned chosen = 0;

  for (guint i = 0; i < 4; i++)
    endpoints[i] = (plc_endpoint_t){ FREE_ENDPOINT, .own_prefill = 800. };
  for (guint i = 0; i < 4; i++)
    {
      request.tie_break = (i + 0.5) / 4.;
      chosen |= 1u << plc_choose_endpoint (endpoints, 4, &request);
    }
  g_assert_cmpuint (chosen, ==, 0xf);
}

static void
test_prefill_work (void)
{
  g_assert_cmpfloat (plc_compute_prefill_work (1000., 1000.), ==, 0.);
  g_assert_cmpfloat (plc_compute_prefill_work (1000., 0.), >, 1000.);
  /* Tokens at the end of a long prompt attend to all tokens before them.  */
  g_assert_cmpfloat (plc_compute_prefill_work (50000., 49000.), >,
                     2. * plc_compute_prefill_work (1000., 0.));
}

/* plc_has_candidate rejects full slots, a full KV cache and a long queue
   without information about cached prefixes.  */
static void
test_all_full (void)
{
  plc_request_t request = REQUEST (300., 150.);
  plc_endpoint_t endpoints[3]
      = { { .slots = 4, .active = 4, UNLIMITED },
          { FREE_ENDPOINT, .active = 1, .context_tokens = 399000. },
          { FREE_ENDPOINT, .pending_prefill = 15001. } };

  g_assert_false (plc_has_candidate (endpoints, 3, &request));
  endpoints[2].pending_prefill = 15000.;
  g_assert_true (plc_has_candidate (endpoints, 3, &request));
}

/* Guards against an endpoint that runs out of memory by the bodies of requests
   that it holds, and against a body that is larger than the limit and is never
   sent; and against a refusal that names another resource than was full.  */
static void
test_shortage (void)
{
  static const struct
  {
    plc_shortage_t shortage;
    plc_endpoint_t endpoints[2];
  } rows[] = {
    { PLC_NO_ENDPOINT,
      { { .slots = 0 }, { UNLIMITED, .slots = 8, .is_excluded = true } } },
    { PLC_SLOTS, { { .slots = 0 }, { UNLIMITED, .slots = 8, .active = 8 } } },
    { PLC_KV_CACHE,
      { { UNLIMITED, .slots = 8, .active = 8 },
        { UNLIMITED, .slots = 8, .active = 1, .kv_capacity_tokens = 1000.,
          .context_tokens = 800. } } },
    { PLC_BODIES,
      { { UNLIMITED, .slots = 8, .active = 1, .body_bytes = 700 },
        { UNLIMITED, .slots = 8, .active = 1, .body_bytes = 701 } } },
    { PLC_PREFILL,
      { { UNLIMITED, .slots = 8, .body_bytes = 701 },
        { UNLIMITED, .slots = 8, .pending_prefill = 1e6 } } },
    { PLC_PAUSES,
      { { UNLIMITED, .slots = 8, .body_bytes = 701 },
        { .slowness = 1.,
          .prefill_budget = 5000.,
          .slots = 8,
          .active = 1,
          .recent_prefill = 4500.,
          .own_prefill = 800. } } },
    { PLC_NOTHING,
      { { UNLIMITED, .slots = 8, .body_bytes = 600 }, { .slots = 0 } } },
    { PLC_NOTHING, { { UNLIMITED, .slots = 8 }, { .slots = 0 } } },
  };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      plc_request_t request = REQUEST (300., 150.);
      bool fits;

      request.body_bytes = 400;
      request.max_body_bytes = 1000;
      request.budget_share = 1.;
      request.max_budget = 5000.;
      fits = plc_has_candidate (rows[i].endpoints, 2, &request);
      g_assert_cmpint (plc_find_shortage (rows[i].endpoints, 2, &request), ==,
                       rows[i].shortage);
      /* Whether streams would pause depends on the prompt's cached part.  */
      g_assert_cmpint (fits, ==, rows[i].shortage >= PLC_PAUSES);
      request.body_bytes = 2000;
      if (rows[i].endpoints[0].slots == 8 && rows[i].endpoints[0].active == 0
          && rows[i].endpoints[0].body_bytes == 0)
        g_assert_cmpint (plc_find_shortage (rows[i].endpoints, 2, &request),
                         ==, PLC_NOTHING);
    }
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
  g_test_add_func ("/plc/prefill-work", test_prefill_work);
  g_test_add_func ("/plc/all-full", test_all_full);
  g_test_add_func ("/plc/shortage", test_shortage);
  return g_test_run ();
}
