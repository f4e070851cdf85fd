/* Tests of the estimate of what hedged requests would gain.  */

#include "measure-slow.h"

#define US_PER_MS 1000

/* Adds an answer of 11 tokens to a prompt of 20 tokens, requested at 0 and
   received by the engine at 10 ms.  */
static void
add_request (GPtrArray *requests, const char *nonce, unsigned first_ms,
             unsigned whole_ms)
{
  load_request_t *request = g_new0 (load_request_t, 1);

  *request = (load_request_t){ .nonce = (char *)nonce,
                               .end = LOAD_CORRECT,
                               .prompt_tokens = 20,
                               .tokens = 11,
                               .length = 11,
                               .engine_start_us = 10 * US_PER_MS,
                               .first_byte_us = (10 + first_ms) * US_PER_MS,
                               .last_us = (10 + whole_ms) * US_PER_MS };
  g_ptr_array_add (requests, request);
}

/* Ten answers of usual speed, with the first token after 30 ms and one every
   20 ms from then on, and one answer of the slow endpoint.  */
static slow_span_t
make_span (unsigned first_ms, unsigned whole_ms)
{
  g_autoptr (GPtrArray) requests = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (GHashTable) slow = g_hash_table_new (g_str_hash, g_str_equal);

  for (unsigned i = 0; i < 10; i++)
    add_request (requests, "usual", 30, 230);
  add_request (requests, "slow", first_ms, whole_ms);
  g_hash_table_add (slow, (gpointer) "slow");
  return slow_summarize_span (requests, slow, 1, 10000 * US_PER_MS);
}

static const struct
{
  const char *name;
  unsigned first_ms;
  unsigned whole_ms;
  unsigned
      second_attempts[2]; /* until the first token, and the whole answer */
  unsigned second_wins[2];
  double p99[2];
  double tokens[2];
} cases[] = {
  { "as quick as the others",
    30,
    230,
    { 0, 0 },
    { 0, 0 },
    { 40, 240 },
    { 0, 0 } },
  /* The second attempt, sent at 30 ms, would have its first token at 60 ms; it
     costs its prompt.  */
  { "first comes before the second could",
    50,
    230,
    { 1, 0 },
    { 0, 0 },
    { 60, 240 },
    { 20, 0 } },
  { "second first token wins",
    130,
    330,
    { 1, 1 },
    { 1, 0 },
    { 70, 340 },
    { 20, 24.5 } },
  /* The second attempt ends 460 ms after the start.  The first had 5 of its
     tokens by then, one every 90 ms from 90 ms on.  */
  { "second whole answer wins",
    90,
    990,
    { 1, 1 },
    { 1, 1 },
    { 70, 470 },
    { 20, 25 + 1.0 / 9 } },
};

static void
test_hedge (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      slow_span_t span = make_span (cases[i].first_ms, cases[i].whole_ms);
      const slow_hedge_t *hedges[] = { &span.hedge_first, &span.hedge_whole };

      g_test_message ("%s", cases[i].name);
      g_assert_cmpuint (span.count, ==, 11);
      g_assert_cmpuint (span.at_slow, ==, 1);
      for (unsigned j = 0; j < G_N_ELEMENTS (hedges); j++)
        {
          g_assert_cmpuint (hedges[j]->second_attempts, ==,
                            cases[i].second_attempts[j]);
          g_assert_cmpuint (hedges[j]->second_wins, ==,
                            cases[i].second_wins[j]);
          g_assert_cmpfloat_with_epsilon (hedges[j]->end.p99, cases[i].p99[j],
                                          0.01);
          g_assert_cmpfloat_with_epsilon (hedges[j]->tokens,
                                          cases[i].tokens[j], 0.01);
        }
    }
}

/* Only complete answers that ended within the span and have a time of receipt
   at the engine are counted.  */
static void
test_span (void)
{
  g_autoptr (GPtrArray) requests = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (GHashTable) slow = g_hash_table_new (g_str_hash, g_str_equal);

  add_request (requests, "before", 30, 230);
  add_request (requests, "in", 100, 290);
  add_request (requests, "after", 200, 400);
  add_request (requests, "broken", 100, 290);
  ((load_request_t *)requests->pdata[3])->end = LOAD_INCOMPLETE;
  add_request (requests, "unknown", 100, 290);
  ((load_request_t *)requests->pdata[4])->engine_start_us = 0;
  slow_span_t span
      = slow_summarize_span (requests, slow, 250 * US_PER_MS, 350 * US_PER_MS);
  g_assert_cmpuint (span.count, ==, 1);
  g_assert_cmpfloat (span.tokens, ==, 31);
  g_assert_cmpfloat (span.first.p50, ==, 110);
  /* One request ran during all of the span, two more for half of it each.  */
  g_assert_cmpfloat (span.busy, ==, 2);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/slow/hedge", test_hedge);
  g_test_add_func ("/slow/span", test_span);
  return g_test_run ();
}
