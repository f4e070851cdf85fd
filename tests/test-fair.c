/* Tests of the fairness figures computed from the callers' samples.  */

#include "measure.h"

typedef struct
{
  double service[2];
  unsigned waiting[2];
} gap_sample_t;

typedef struct
{
  const char *name;
  gap_sample_t samples[6];
  unsigned count;
  int64_t from_us;
  double gap;
} gap_case_t;

static const gap_case_t gap_cases[] = {
  { "equal service has no gap",
    { { { 0, 0 }, { 1, 1 } }, { { 9, 9 }, { 1, 1 } } },
    2,
    0,
    0 },
  { "the gap is of any part, not of the whole",
    { { { 0, 0 }, { 1, 1 } },
      { { 10, 0 }, { 1, 1 } },
      { { 10, 30 }, { 1, 1 } },
      { { 30, 30 }, { 1, 1 } } },
    4,
    0,
    30 },
  { "what happens while one has no backlog does not count",
    { { { 0, 0 }, { 1, 1 } },
      { { 5, 0 }, { 1, 0 } },
      { { 500, 0 }, { 1, 1 } },
      { { 507, 0 }, { 1, 1 } } },
    4,
    0,
    7 },
  { "what comes before the span does not count",
    { { { 0, 0 }, { 1, 1 } },
      { { 50, 0 }, { 1, 1 } },
      { { 50, 3 }, { 1, 1 } } },
    3,
    1,
    3 },
};

static void
test_gap (gconstpointer data)
{
  const gap_case_t *c = data;
  load_sample_t samples[6];
  g_autoptr (GPtrArray) list = g_ptr_array_new ();

  for (unsigned i = 0; i < c->count; i++)
    {
      samples[i]
          = (load_sample_t){ .at_us = i,
                             .service = (double *)c->samples[i].service,
                             .waiting = (unsigned *)c->samples[i].waiting };
      g_ptr_array_add (list, &samples[i]);
    }
  g_assert_cmpfloat_with_epsilon (
      fair_gap (list, FAIR_RECEIVED, 2, c->from_us, c->count).tokens, c->gap,
      1e-9);
}

static void
test_quantile (void)
{
  const float values[] = { 5, 1, 4, 2, 3 };
  g_autoptr (GArray) array = g_array_new (FALSE, FALSE, sizeof (float));

  g_assert_cmpfloat (fair_quantile (array, 0.5), ==, 0);
  g_array_append_vals (array, values, G_N_ELEMENTS (values));
  g_assert_cmpfloat (fair_quantile (array, 0.5), ==, 3);
  g_assert_cmpfloat (fair_quantile (array, 1), ==, 5);
}

static void
test_rate (void)
{
  load_sample_t samples[] = { { .at_us = 0, .tokens = 0 },
                              { .at_us = 1000000, .tokens = 100 },
                              { .at_us = 3000000, .tokens = 500 } };
  g_autoptr (GPtrArray) list = g_ptr_array_new ();

  for (unsigned i = 0; i < G_N_ELEMENTS (samples); i++)
    g_ptr_array_add (list, &samples[i]);
  g_assert_cmpfloat_with_epsilon (fair_token_rate (list, 500000, 3000000), 200,
                                  1e-9);
  g_assert_cmpfloat (fair_token_rate (list, 4000000, 5000000), ==, 0);
}

static load_sample_t
make_sample (int64_t at_us, double *service, unsigned *waiting)
{
  return (load_sample_t){
    .at_us = at_us, .service = service, .started = service, .waiting = waiting
  };
}

/* One account is served on both sides of a partition, the other on the first
   side only.  The gap of each side counts only the tokens that went through
   its own routers.  */
static void
test_side (void)
{
  double early[] = { 0, 0 };
  double first[] = { 10, 12 };
  double second[] = { 700, 0 };
  unsigned waiting[] = { 1, 1 };
  unsigned one_waiting[] = { 1, 0 };
  load_sample_t before[] = { make_sample (0, early, waiting),
                             make_sample (0, early, one_waiting) };
  load_sample_t after[] = { make_sample (1, first, waiting),
                            make_sample (1, second, one_waiting) };
  load_sample_t samples[]
      = { { .at_us = 0, .routers = 2, .by_router = before },
          { .at_us = 1, .routers = 2, .by_router = after } };
  const unsigned sides[] = { 0, 1 };
  g_autoptr (GPtrArray) list = g_ptr_array_new ();

  for (unsigned i = 0; i < G_N_ELEMENTS (samples); i++)
    g_ptr_array_add (list, &samples[i]);
  for (unsigned side = 0; side < 2; side++)
    {
      g_autoptr (GPtrArray) part = fair_filter_side (list, sides, side, 2);
      g_assert_cmpfloat (fair_gap (part, FAIR_RECEIVED, 2, 0, 1).tokens, ==,
                         side == 0 ? 2 : 0);
    }
}

/* Many requests wait on one side of a partition and few on the other, whose
   idle slots could not have served them.  The minimum over the latest samples
   counts, since requests that came or went in between were in transit.  */
static void
test_least_waiting (void)
{
  unsigned many[] = { 30, 20 };
  unsigned few[] = { 2, 0 };
  unsigned none[] = { 0, 0 };
  load_sample_t early[] = { { .waiting = none }, { .waiting = none } };
  load_sample_t middle[] = { { .waiting = many }, { .waiting = few } };
  load_sample_t late[] = { { .waiting = few }, { .waiting = many } };
  load_sample_t samples[]
      = { { .total_waiting = 0, .routers = 2, .by_router = early },
          { .total_waiting = 52, .routers = 2, .by_router = middle },
          { .total_waiting = 51, .routers = 2, .by_router = late } };
  const unsigned sides[] = { 0, 1 };
  const struct
  {
    const unsigned *sides;
    unsigned side;
    guint count;
    unsigned least;
  } cases[] = { { NULL, 0, 2, 51 }, { NULL, 0, 3, 0 },  { NULL, 0, 4, 0 },
                { NULL, 0, 0, 0 },  { sides, 0, 1, 2 }, { sides, 1, 1, 50 },
                { sides, 0, 2, 2 }, { sides, 1, 2, 2 }, { sides, 2, 2, 0 } };
  g_autoptr (GPtrArray) list = g_ptr_array_new ();

  for (unsigned i = 0; i < G_N_ELEMENTS (samples); i++)
    g_ptr_array_add (list, &samples[i]);
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    g_assert_cmpuint (fair_min_waiting (list, cases[i].sides, cases[i].side, 2,
                                        cases[i].count),
                      ==, cases[i].least);
}

/* The gap grows until 2 s, closes at 3 s and stays small from then on.  */
static void
test_recovery (void)
{
  double service[][2]
      = { { 0, 0 }, { 500, 0 }, { 500, 0 }, { 500, 500 }, { 510, 500 } };
  unsigned waiting[] = { 1, 1 };
  load_sample_t samples[G_N_ELEMENTS (service)];
  g_autoptr (GPtrArray) list = g_ptr_array_new ();

  for (unsigned i = 0; i < G_N_ELEMENTS (service); i++)
    {
      samples[i] = make_sample (i * G_USEC_PER_SEC, service[i], waiting);
      g_ptr_array_add (list, &samples[i]);
    }
  g_assert_cmpfloat_with_epsilon (
      fair_recovery_time_s (list, 2, 0, 4 * G_USEC_PER_SEC, 20), 2.1, 1e-9);
  g_assert_cmpfloat_with_epsilon (
      fair_recovery_time_s (list, 2, 0, 4 * G_USEC_PER_SEC, 600), 0, 1e-9);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (gap_cases); i++)
    {
      g_autofree char *path
          = g_strconcat ("/fair/gap/", gap_cases[i].name, NULL);
      g_test_add_data_func (path, &gap_cases[i], test_gap);
    }
  g_test_add_func ("/fair/quantile", test_quantile);
  g_test_add_func ("/fair/rate", test_rate);
  g_test_add_func ("/fair/side", test_side);
  g_test_add_func ("/fair/least-waiting", test_least_waiting);
  g_test_add_func ("/fair/recovery", test_recovery);
  return g_test_run ();
}
