/* Claims at random: three routers, few keys, and a platform whose faults
   change all the time.  Whatever happens, a key is held by one at a time, runs
   at most once, and who asks afterwards gets that answer.  */

#include "base/log.h"
#include "once/once.h"
#include "sp-test.h"

#include <string.h>

#define ROUTERS 3
#define KEYS 12
#define CLAIMS 400
/* Claims under way at once.  */
#define ASKING 6

typedef struct
{
  char name[8];
  once_t *holder; /* of whom a request with this key runs */
  bool ran;
  char answer[32];
} claim_key_t;

typedef struct
{
  sp_test_t test;
  GRand *random;
  once_t *routers[ROUTERS];
  claim_key_t keys[KEYS];
  unsigned asked;
  unsigned answered;
  unsigned mine;
  unsigned finished;
  bool is_over; /* the faults are */
} world_t;

typedef struct
{
  world_t *world;
  claim_key_t *key;
  once_t *router;
} ask_t;

static void
hold (ask_t *ask)
{
  g_assert_null (ask->key->holder);
  g_assert_false (ask->key->ran);
  ask->key->holder = ask->router;
  ask->world->mine++;
}

static void
on_answer (void *user, const once_claim_result_t *answer)
{
  ask_t *ask = user;
  claim_key_t *key = ask->key;

  ask->world->answered++;
  switch (answer->claim_status)
    {
    case ONCE_CLAIMED:
      hold (ask);
      break;
    case ONCE_FINISHED:
      g_assert_true (key->ran);
      g_assert_cmpstr (answer->body, ==, key->answer);
      ask->world->finished++;
      break;
    case ONCE_PLATFORM_DOWN:
      g_assert_false (ask->world->is_over);
      break;
    case ONCE_RUNNING:
      break;
    case ONCE_OUTCOME_UNKNOWN:
    case ONCE_KEY_REUSED:
      g_assert_not_reached ();
    }
  g_free (ask);
}

static void
ask_for (world_t *world, claim_key_t *key)
{
  ask_t *ask = g_new0 (ask_t, 1);

  ask->world = world;
  ask->key = key;
  ask->router = world->routers[g_rand_int_range (world->random, 0, ROUTERS)];
  world->asked++;
  once_claim (ask->router, "mill", key->name, "d", on_answer, ask);
}

/* The held request ends: it ran, or it did not and never will.  */
static void
end_request (world_t *world, claim_key_t *key)
{
  once_t *holder = key->holder;

  key->holder = NULL;
  if (g_rand_boolean (world->random))
    {
      once_release (holder, "mill", key->name);
      return;
    }
  key->ran = true;
  g_snprintf (key->answer, sizeof key->answer, "case %u", world->asked);
  once_finish (holder, "mill", key->name, 200, "text/plain", key->answer);
}

static void
change_fault (world_t *world)
{
  sp_mode_t mode
      = (sp_mode_t)g_rand_int_range (world->random, SP_UP, SP_STALE_READS + 1);

  sp_set_fault (world->test.sp, mode, 2, 0);
}

static void
step (world_t *world)
{
  claim_key_t *key = &world->keys[g_rand_int_range (world->random, 0, KEYS)];

  if (g_rand_int_range (world->random, 0, 8) == 0)
    change_fault (world);
  if (key->holder != NULL && g_rand_int_range (world->random, 0, 3) == 0)
    end_request (world, key);
  else if (world->asked - world->answered < ASKING)
    ask_for (world, key);
  ev_run (world->test.loop, EVRUN_ONCE);
}

static bool
is_quiet (void *user)
{
  const world_t *world = user;

  for (int i = 0; i < ROUTERS; i++)
    if (once_count_pending_writes (world->routers[i]) > 0)
      return false;
  return world->asked == world->answered;
}

/* With the faults over, each key answers as what happened to it.  */
static void
check_end (world_t *world)
{
  sp_set_fault (world->test.sp, SP_UP, 0, 0);
  sp_test_run_until (&world->test, is_quiet, world);
  world->is_over = true;
  for (int i = 0; i < KEYS; i++)
    {
      claim_key_t *key = &world->keys[i];
      unsigned mine = world->mine;
      unsigned finished = world->finished;
      bool was_held = key->holder != NULL;

      ask_for (world, key);
      sp_test_run_until (&world->test, is_quiet, world);
      g_assert_cmpuint (world->finished - finished, ==, key->ran ? 1 : 0);
      g_assert_cmpuint (world->mine - mine, ==, key->ran || was_held ? 0 : 1);
    }
}

static void
run (guint32 seed)
{
  world_t world = { .random = g_rand_new_with_seed (seed) };

  sp_test_setup (&world.test);
  for (int i = 0; i < ROUTERS; i++)
    {
      g_autofree char *owner = g_strdup_printf ("router-%d", i);

      world.routers[i] = once_new (world.test.plat, owner);
    }
  for (int i = 0; i < KEYS; i++)
    g_snprintf (world.keys[i].name, sizeof world.keys[i].name, "key-%d", i);
  while (world.asked < CLAIMS)
    step (&world);
  check_end (&world);
  g_test_message ("seed %u: mine %u, finished %u of %u", seed, world.mine,
                  world.finished, world.asked);
  for (int i = 0; i < ROUTERS; i++)
    once_free (world.routers[i]);
  sp_test_teardown (&world.test);
  g_rand_free (world.random);
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
