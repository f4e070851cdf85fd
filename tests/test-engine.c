/* Tests of the engine stand-in, whose counters decide whether a measurement
   passes.  */

#include "engine.h"
#include "standin.h"
#include <string.h>

static const engine_settings_t settings = {
  .seed = 7, .slots = 2, .slots_cold = 1, .cold_ms = 1000, .step_ms = 10
};

static engine_run_t *
start_request (engine_t *engine, const char *nonce, cfd_time_t now)
{
  g_autofree char *prompt = g_strdup_printf ("nonce=%s length=3", nonce);

  return engine_start (engine, nonce, prompt, true, true, now);
}

static void
count_chunk (void *user, engine_run_t *run, const char *bytes, size_t length)
{
  unsigned *chunks = user;

  (*chunks)++;
}

/* Requests above the current capacity count as overloads, except within
   ENGINE_OVERLOAD_GRACE_MS after the engine turned cold by itself.  */
static void
test_overload (void)
{
  g_autoptr (engine_t) engine = engine_new (&settings, 0);

  start_request (engine, "a", 10);
  g_assert_cmpuint (engine_get_counters (engine, 10)->overload_count, ==, 0);
  start_request (engine, "b", 20);
  g_assert_cmpuint (engine_get_counters (engine, 20)->overload_count, ==, 1);
  engine_set_cold (engine, 5000);
  start_request (engine, "c", 5100);
  g_assert_cmpuint (engine_get_counters (engine, 5100)->overload_count, ==, 1);
  g_assert_cmpuint (engine_get_counters (engine, 5100)->overload_in_grace, ==,
                    1);
  start_request (engine, "d", 5000 + ENGINE_OVERLOAD_GRACE_MS);
  g_assert_cmpuint (engine_get_counters (engine, 6000)->overload_count, ==, 2);
}

static void
test_answer (void)
{
  g_autoptr (engine_t) engine = engine_new (&settings, 0);
  engine_run_t *run = start_request (engine, "a", 2000);
  unsigned chunks = 0;
  cfd_time_t now = 2000;

  engine_step (engine, now, count_chunk, &chunks);
  g_assert_cmpuint (chunks, ==, 0); /* in prefill */
  for (unsigned i = 0; i < 5; i++)
    engine_step (engine, now += 100, count_chunk, &chunks);
  g_assert_cmpuint (chunks, ==, 3);
  g_assert_cmpuint (engine_count_running (engine), ==, 0);
  g_assert_nonnull (strstr (run->body->str, "\"content\":\"a \""));
  g_assert_nonnull (strstr (run->body->str, "\"completion_tokens\":3"));
  g_assert_true (g_str_has_suffix (run->body->str, "data: [DONE]\n\n"));
  /* Three tokens, the last at 2300.  */
  g_assert_cmpfloat (engine_get_counters (engine, now)->busy_ms, ==, 300);
}

static void
test_cancel (void)
{
  g_autoptr (engine_t) engine = engine_new (&settings, 0);
  engine_run_t *run = start_request (engine, "a", 2000);

  engine_cancel (engine, run, 2100);
  engine_cancel (engine, run, 2200);
  g_assert_cmpuint (engine_count_running (engine), ==, 0);
  g_assert_true (engine_find_run (engine, "a") == run);
  engine_step (engine, 2101 + ENGINE_RESUME_WINDOW_MS, count_chunk, NULL);
  g_assert_null (engine_find_run (engine, "a"));
}

static void
test_slow (void)
{
  g_autoptr (engine_t) engine = engine_new (&settings, 0);
  unsigned chunks = 0;

  start_request (engine, "a", 2000);
  g_assert_cmpfloat (engine_step (engine, 2000, count_chunk, &chunks), ==,
                     12.5);
  engine_set_step_factor (engine, 4);
  g_assert_cmpfloat (engine_step (engine, 2000, count_chunk, &chunks), ==, 50);
  engine_set_step_factor (engine, 1);
  g_assert_cmpfloat (engine_step (engine, 2000, count_chunk, &chunks), ==,
                     12.5);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/engine/overload", test_overload);
  g_test_add_func ("/engine/answer", test_answer);
  g_test_add_func ("/engine/cancel", test_cancel);
  g_test_add_func ("/engine/slow", test_slow);
  return g_test_run ();
}
