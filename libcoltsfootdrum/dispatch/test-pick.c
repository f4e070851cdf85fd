/* The agent's choice among announced work, and the life of its grants.  */

#include "dispatch/pick.h"
#include <math.h>
#include <string.h>

#define LIFE_MS 3000

typedef struct
{
  const char *router;
  msg_waiting_t word;
} told_t;

static void
tell (pick_t *pick, const char *router, const msg_waiting_t *word, bool full,
      cfd_time_t now)
{
  msg_announce_t announce = { .service = "draft",
                              .full = full,
                              .life_ms = LIFE_MS,
                              .count = word != NULL,
                              .entries = word };

  pick_apply_announcement (pick, router, &announce, now);
}

static const struct
{
  const char *name;
  told_t told[4];
  const char *router; /* NULL: nothing to grant */
  const char *account;
  double limit;
} choices[] = {
  { "nothing", { { NULL, { 0 } } }, NULL, NULL, 0 },
  { "least-time",
    { { "r1", { "a", 1, 0, 0, 50 } }, { "r2", { "b", 1, 0, 0, 20 } } },
    "r2",
    "b",
    50 },
  { "alone", { { "r1", { "a", 1, 0, 0, 5 } } }, "r1", "a", INFINITY },
  { "class-before-age",
    { { "r1", { "a", 1, 1, 900, 5 } }, { "r2", { "a", 1, 0, 10, 5 } } },
    "r2",
    "a",
    INFINITY },
  { "oldest",
    { { "r1", { "a", 1, 0, 10, 5 } }, { "r2", { "a", 1, 0, 900, 5 } } },
    "r2",
    "a",
    INFINITY },
  { "stale-low-word-loses",
    { { "r1", { "a", 1, 0, 0, 5 } },
      { "r2", { "a", 1, 0, 0, 90 } },
      { "r1", { "b", 1, 0, 0, 40 } } },
    "r1",
    "b",
    90 },
  { "withdrawn",
    { { "r1", { "a", 1, 0, 0, 5 } }, { "r1", { "a", 0, 0, 0, 5 } } },
    NULL,
    NULL,
    0 },
};

static void
test_choice (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (choices); i++)
    {
      g_autoptr (pick_t) pick = pick_new ();
      pick_choice_t choice = { 0 };
      uint64_t grant;

      for (int k = 0; k < 4 && choices[i].told[k].router != NULL; k++)
        tell (pick, choices[i].told[k].router, &choices[i].told[k].word, false,
              0);
      grant = pick_make_grant (pick, 1, &choice);
      g_test_message ("%s", choices[i].name);
      g_assert_cmpint (grant != 0, ==, choices[i].router != NULL);
      if (grant == 0)
        continue;
      g_assert_cmpstr (choice.router, ==, choices[i].router);
      g_assert_cmpstr (choice.account, ==, choices[i].account);
      g_assert_true (choice.limit_vt == choices[i].limit);
    }
}

/* Grants in flight use up the waiting requests; a late answer is dead, and a
   router that lets a grant die gets none until it speaks again.  */
static void
test_life (void)
{
  g_autoptr (pick_t) pick = pick_new ();
  msg_waiting_t two = { "a", 2, 0, 0, 5 };
  pick_choice_t choice;
  uint64_t first;
  uint64_t second;

  tell (pick, "r1", &two, false, 0);
  first = pick_make_grant (pick, 0, &choice);
  second = pick_make_grant (pick, 10, &choice);
  g_assert_cmpuint (pick_make_grant (pick, 10, &choice), ==, 0);
  g_assert_cmpuint (pick_expire_grants (pick, 10), ==, 2);
  g_assert_true (
      pick_complete_grant (pick, first, PICK_GRANT_LIFETIME_MS - 1));
  g_assert_false (
      pick_complete_grant (pick, first, PICK_GRANT_LIFETIME_MS - 1));
  g_assert_false (
      pick_complete_grant (pick, second, 10 + PICK_GRANT_LIFETIME_MS));

  tell (pick, "r1", &two, false, 2000);
  g_assert_cmpuint (pick_make_grant (pick, 2000, &choice), !=, 0);
  g_assert_cmpuint (pick_expire_grants (pick, 2000 + PICK_GRANT_LIFETIME_MS),
                    ==, 0);
  g_assert_cmpuint (
      pick_make_grant (pick, 2000 + PICK_GRANT_LIFETIME_MS, &choice), ==, 0);
  tell (pick, "r1", &two, false, 3100);
  g_assert_cmpuint (pick_make_grant (pick, 3100, &choice), !=, 0);
}

/* The agent sees a router fall silent with grants unanswered: cut off, frozen,
   or only slow.  It goes on with what others announced, not a whole grant's
   life later: each slot that gets free meanwhile would be lost for as long.
   Any word ends it, and far routers have longer.  */
typedef struct
{
  const char *name;
  cfd_time_t trip;    /* of a grant that was answered before; 0: none */
  cfd_time_t word;    /* of r1, after the grant; 0: none */
  cfd_time_t again;   /* the next grant, after the first */
  const char *router; /* that gets it */
  unsigned holding;   /* grants that hold a slot just before */
} overdue_case_t;

static const overdue_case_t overdue_cases[] = {
  { "in time", 0, 0, PICK_ANSWER_TIMEOUT_MS - 1, "r1", 1 },
  { "overdue", 0, 0, PICK_ANSWER_TIMEOUT_MS, "r2", 0 },
  { "dead", 0, 0, PICK_GRANT_LIFETIME_MS + 1, "r2", 0 },
  { "spoke", 0, 150, PICK_ANSWER_TIMEOUT_MS, "r1", 1 },
  { "spoke late", 0, PICK_ANSWER_TIMEOUT_MS + 1, PICK_ANSWER_TIMEOUT_MS + 2,
    "r1", 1 },
  { "far", 100, 0, PICK_ANSWER_TIMEOUT_MS + 199, "r1", 1 },
  { "far and overdue", 100, 0, PICK_ANSWER_TIMEOUT_MS + 200, "r2", 0 },
};

static void
test_overdue (gconstpointer data)
{
  const overdue_case_t *c = data;
  g_autoptr (pick_t) pick = pick_new ();
  msg_waiting_t least = { "a", 9, 0, 0, 0 };
  msg_waiting_t next = { "b", 9, 0, 0, 1000 };
  pick_choice_t choice;
  cfd_time_t start = 1000;

  tell (pick, "r1", &least, false, 0);
  tell (pick, "r2", &next, false, 0);
  if (c->trip > 0)
    g_assert_true (pick_complete_grant (
        pick, pick_make_grant (pick, 0, &choice), c->trip));
  g_assert_cmpuint (pick_make_grant (pick, start, &choice), !=, 0);
  g_assert_cmpstr (choice.router, ==, "r1");
  if (c->word > 0)
    tell (pick, "r1", NULL, false, start + c->word);
  g_assert_cmpuint (pick_expire_grants (pick, start + c->again), ==,
                    c->holding);
  g_assert_cmpuint (pick_make_grant (pick, start + c->again, &choice), !=, 0);
  g_assert_cmpstr (choice.router, ==, c->router);
}

static void
test_withdrawal (void)
{
  g_autoptr (pick_t) pick = pick_new ();
  msg_waiting_t a = { "a", 1, 0, 0, 5 };
  msg_waiting_t b = { "b", 1, 0, 0, 9 };
  msg_waiting_t none = { "b", 0, 0, 0, 9 };
  pick_choice_t choice;
  uint64_t grant;

  tell (pick, "r1", &a, false, 0);
  tell (pick, "r1", &b, true, 0);
  g_assert_cmpuint (pick_count_waiting (pick), ==, 1);
  grant = pick_make_grant (pick, 0, &choice);
  g_assert_cmpstr (choice.account, ==, "b");
  pick_update_waiting (pick, "r1", &none, 1);
  g_assert_true (pick_complete_grant (pick, grant, 1));
  g_assert_cmpuint (pick_make_grant (pick, 1, &choice), ==, 0);

  tell (pick, "r1", &a, false, 10);
  tell (pick, "r2", &b, false, 10);
  grant = pick_make_grant (pick, 10, &choice);
  pick_remove_router (pick, "r1");
  g_assert_false (pick_complete_grant (pick, grant, 10));
  g_assert_cmpuint (pick_make_grant (pick, 10, &choice), !=, 0);
  g_assert_cmpstr (choice.router, ==, "r2");
  g_assert_cmpuint (pick_expire_grants (pick, 10 + LIFE_MS), ==, 0);
  g_assert_cmpuint (pick_count_waiting (pick), ==, 0);
}

/* Equal accounts take turns, and grants made in one burst are spread once the
   agent knows what a request moves.  */
static void
test_spread (void)
{
  g_autoptr (pick_t) pick = pick_new ();
  msg_waiting_t a = { "a", 9, 0, 0, 0 };
  msg_waiting_t b = { "b", 9, 0, 0, 0 };
  msg_waiting_t moved = { "a", 8, 0, 0, 100 };
  pick_choice_t choice;
  char first;

  tell (pick, "r1", &a, false, 0);
  tell (pick, "r1", &b, false, 0);
  (void)pick_make_grant (pick, 0, &choice);
  first = choice.account[0];
  (void)pick_make_grant (pick, 0, &choice);
  g_assert_true (choice.account[0] != first);

  pick_update_waiting (pick, "r1", &moved, 1);
  moved = (msg_waiting_t){ "b", 8, 0, 0, 110 };
  pick_update_waiting (pick, "r1", &moved, 1);
  (void)pick_expire_grants (pick, PICK_GRANT_LIFETIME_MS);
  tell (pick, "r1", NULL, false, PICK_GRANT_LIFETIME_MS);
  (void)pick_make_grant (pick, PICK_GRANT_LIFETIME_MS, &choice);
  g_assert_cmpstr (choice.account, ==, "a");
  (void)pick_make_grant (pick, PICK_GRANT_LIFETIME_MS, &choice);
  g_assert_cmpstr (choice.account, ==, "b");
  g_assert_true (choice.floor == 100);
}

static void
test_carried_forward (void)
{
  /* Account a is heard of again and again, b once.  Both are served alike, so
     b's old word must not look like the least: the router would decline a's
     slot as stale against it, and the slot would stay empty meanwhile.  */
  g_autoptr (pick_t) pick = pick_new ();
  msg_waiting_t a = { "a", 9, 0, 0, 0 };
  msg_waiting_t b = { "b", 9, 0, 0, 40 };
  pick_choice_t choice;

  tell (pick, "r1", &a, false, 1000);
  tell (pick, "r1", &b, false, 1000);
  for (cfd_time_t now = 1100; now <= 1500; now += 100)
    {
      a.virtual_time = (double)(now - 1000);
      tell (pick, "r1", &a, false, now);
    }
  (void)pick_make_grant (pick, 1500, &choice);
  g_assert_cmpstr (choice.account, ==, "a");
  g_assert_cmpfloat (fabs (choice.limit_vt - 540), <, 1e-6);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pick/choice", test_choice);
  g_test_add_func ("/pick/life", test_life);
  for (size_t i = 0; i < G_N_ELEMENTS (overdue_cases); i++)
    {
      g_autofree char *path
          = g_strconcat ("/pick/overdue/", overdue_cases[i].name, NULL);
      g_test_add_data_func (path, &overdue_cases[i], test_overdue);
    }
  g_test_add_func ("/pick/withdrawal", test_withdrawal);
  g_test_add_func ("/pick/carried-forward", test_carried_forward);
  g_test_add_func ("/pick/spread", test_spread);
  return g_test_run ();
}
