/* Random claims by three routers for a few keys, at a platform whose faults
   change all the time.  A key is claimed by one router at a time, its request
   runs at most once, and later callers get the stored answer.  */

#include "base/log.h"
#include "once/once.h"
#include "sp-test.h"

#include <string.h>

#define ROUTERS 3
#define KEYS 12
#define CLAIMS 400
#define MAX_PENDING_CLAIMS 6

typedef struct
{
  char name[8];
  once_t *holder; /* router where a request with this key runs */
  bool ran;
  char answer[32];
} claim_key_t;

typedef struct
{
  sp_test_t test;
  GRand *random;
  once_t *routers[ROUTERS];
  claim_key_t keys[KEYS];
  unsigned claim_count;
  unsigned result_count;
  unsigned claimed;
  unsigned finished;
  bool are_faults_over;
} simulation_t;

typedef struct
{
  simulation_t *sim;
  claim_key_t *key;
  once_t *router;
} caller_t;

static void
start_request (caller_t *caller)
{
  g_assert_null (caller->key->holder);
  g_assert_false (caller->key->ran);
  caller->key->holder = caller->router;
  caller->sim->claimed++;
}

static void
on_answer (void *user, const once_claim_result_t *answer)
{
  caller_t *caller = user;
  claim_key_t *key = caller->key;

  caller->sim->result_count++;
  switch (answer->claim_status)
    {
    case ONCE_CLAIMED:
      start_request (caller);
      break;
    case ONCE_FINISHED:
      g_assert_true (key->ran);
      g_assert_cmpstr (answer->body, ==, key->answer);
      caller->sim->finished++;
      break;
    case ONCE_PLATFORM_DOWN:
      g_assert_false (caller->sim->are_faults_over);
      break;
    case ONCE_RUNNING:
      break;
    case ONCE_OUTCOME_UNKNOWN:
    case ONCE_KEY_REUSED:
      g_assert_not_reached ();
    }
  g_free (caller);
}

static void
claim_key (simulation_t *sim, claim_key_t *key)
{
  caller_t *caller = g_new0 (caller_t, 1);

  caller->sim = sim;
  caller->key = key;
  caller->router = sim->routers[g_rand_int_range (sim->random, 0, ROUTERS)];
  sim->claim_count++;
  once_claim (caller->router, "mill", key->name, "d", on_answer, caller);
}

/* Ends the running request: either it ran, or it did not and never will.  */
static void
end_request (simulation_t *sim, claim_key_t *key)
{
  once_t *holder = key->holder;

  key->holder = NULL;
  if (g_rand_boolean (sim->random))
    {
      once_release (holder, "mill", key->name);
      return;
    }
  key->ran = true;
  g_snprintf (key->answer, sizeof key->answer, "case %u", sim->claim_count);
  once_finish (holder, "mill", key->name, 200, "text/plain", key->answer);
}

static void
change_fault (simulation_t *sim)
{
  sp_mode_t mode
      = (sp_mode_t)g_rand_int_range (sim->random, SP_UP, SP_STALE_READS + 1);

  sp_set_fault (sim->test.sp, mode, 2, 0);
}

static void
step (simulation_t *sim)
{
  claim_key_t *key = &sim->keys[g_rand_int_range (sim->random, 0, KEYS)];

  if (g_rand_int_range (sim->random, 0, 8) == 0)
    change_fault (sim);
  if (key->holder != NULL && g_rand_int_range (sim->random, 0, 3) == 0)
    end_request (sim, key);
  else if (sim->claim_count - sim->result_count < MAX_PENDING_CLAIMS)
    claim_key (sim, key);
  ev_run (sim->test.loop, EVRUN_ONCE);
}

static bool
is_idle (void *user)
{
  const simulation_t *sim = user;

  for (int i = 0; i < ROUTERS; i++)
    if (once_count_pending_writes (sim->routers[i]) > 0)
      return false;
  return sim->claim_count == sim->result_count;
}

/* Without faults, claiming a key returns what happened to its request.  */
static void
check_final_claims (simulation_t *sim)
{
  sp_set_fault (sim->test.sp, SP_UP, 0, 0);
  sp_test_run_until (&sim->test, is_idle, sim);
  sim->are_faults_over = true;
  for (int i = 0; i < KEYS; i++)
    {
      claim_key_t *key = &sim->keys[i];
      unsigned claimed = sim->claimed;
      unsigned finished = sim->finished;
      bool was_held = key->holder != NULL;

      claim_key (sim, key);
      sp_test_run_until (&sim->test, is_idle, sim);
      g_assert_cmpuint (sim->finished - finished, ==, key->ran ? 1 : 0);
      g_assert_cmpuint (sim->claimed - claimed, ==,
                        key->ran || was_held ? 0 : 1);
    }
}

static void
run (guint32 seed)
{
  simulation_t sim = { .random = g_rand_new_with_seed (seed) };

  sp_test_setup (&sim.test);
  for (int i = 0; i < ROUTERS; i++)
    {
      g_autofree char *owner = g_strdup_printf ("router-%d", i);

      sim.routers[i] = once_new (sim.test.plat, owner);
    }
  for (int i = 0; i < KEYS; i++)
    g_snprintf (sim.keys[i].name, sizeof sim.keys[i].name, "key-%d", i);
  while (sim.claim_count < CLAIMS)
    step (&sim);
  check_final_claims (&sim);
  g_test_message ("seed %u: claimed %u, finished %u of %u", seed, sim.claimed,
                  sim.finished, sim.claim_count);
  for (int i = 0; i < ROUTERS; i++)
    once_free (sim.routers[i]);
  sp_test_teardown (&sim.test);
  g_rand_free (sim.random);
}

static void
test_random (void)
{
  for (guint32 seed = 1; seed <= 4; seed++)
    run (seed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  log_setup ("test", LOG_ERROR, false);
  g_test_add_func ("/once/random", test_random);
  return g_test_run ();
}
