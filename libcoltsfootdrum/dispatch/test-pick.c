/* Tests of work selection: the agent's choice among announced work, and the
   lifetime of its grants.  */

#include "dispatch/pick.h"
#include <math.h>
#include <string.h>

#define LIFETIME_MS 3000

typedef struct
{
  const char *router;
  msg_waiting_t waiting;
} announced_t;

static void
announce_work (pick_t *pick, const char *router, const msg_waiting_t *waiting,
               bool full, cfd_time_t now)
{
  msg_announce_t announce = { .service = "draft",
                              .full = full,
                              .life_ms = LIFETIME_MS,
                              .count = waiting != NULL,
                              .entries = waiting };

  pick_apply_announcement (pick, router, &announce, now);
}

static const struct
{
  const char *name;
  announced_t announced[4];
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
  { "stale-lower-time-ignored",
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

      for (int k = 0; k < 4 && choices[i].announced[k].router != NULL; k++)
        announce_work (pick, choices[i].announced[k].router,
                       &choices[i].announced[k].waiting, false, 0);
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

/* Grants in flight use up the waiting requests.  A late answer is rejected,
   and a router that lets a grant expire gets none until it sends a message. */
static void
test_grant_lifetime (void)
{
  g_autoptr (pick_t) pick = pick_new ();
  msg_waiting_t two = { "a", 2, 0, 0, 5 };
  pick_choice_t choice;
  uint64_t first;
  uint64_t second;

  announce_work (pick, "r1", &two, false, 0);
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

  announce_work (pick, "r1", &two, false, 2000);
  g_assert_cmpuint (pick_make_grant (pick, 2000, &choice), !=, 0);
  g_assert_cmpuint (pick_expire_grants (pick, 2000 + PICK_GRANT_LIFETIME_MS),
                    ==, 0);
  g_assert_cmpuint (
      pick_make_grant (pick, 2000 + PICK_GRANT_LIFETIME_MS, &choice), ==, 0);
  announce_work (pick, "r1", &two, false, 3100);
  g_assert_cmpuint (pick_make_grant (pick, 3100, &choice), !=, 0);
}

/* A router leaves grants unanswered because it is cut off, frozen or only
   slow.  The agent must use the work of other routers before the grant
   expires, or each slot that becomes free meanwhile is lost for a grant
   lifetime.  Any message makes the router eligible again, and one with a
   longer round trip has more time.  */
typedef struct
{
  const char *name;
  cfd_time_t round_trip_ms; /* of a grant answered before; 0: none */
  cfd_time_t message_at;    /* message of r1, after the grant; 0: none */
  cfd_time_t next_grant;    /* time of it, after the first */
  const char *router;       /* that gets the next grant */
  unsigned held;            /* grants that hold a slot just before it */
} overdue_case_t;

static const overdue_case_t overdue_cases[] = {
  { "in time", 0, 0, PICK_ANSWER_TIMEOUT_MS - 1, "r1", 1 },
  { "overdue", 0, 0, PICK_ANSWER_TIMEOUT_MS, "r2", 0 },
  { "expired", 0, 0, PICK_GRANT_LIFETIME_MS + 1, "r2", 0 },
  { "message", 0, 150, PICK_ANSWER_TIMEOUT_MS, "r1", 1 },
  { "late message", 0, PICK_ANSWER_TIMEOUT_MS + 1, PICK_ANSWER_TIMEOUT_MS + 2,
    "r1", 1 },
  { "far", 100, 0, PICK_ANSWER_TIMEOUT_MS + 199, "r1", 1 },
  { "far and overdue", 100, 0, PICK_ANSWER_TIMEOUT_MS + 200, "r2", 0 },
};

static void
test_answer_overdue (gconstpointer data)
{
  const overdue_case_t *c = data;
  g_autoptr (pick_t) pick = pick_new ();
  msg_waiting_t least = { "a", 9, 0, 0, 0 };
  msg_waiting_t next = { "b", 9, 0, 0, 1000 };
  pick_choice_t choice;
  cfd_time_t start = 1000;

  announce_work (pick, "r1", &least, false, 0);
  announce_work (pick, "r2", &next, false, 0);
  if (c->round_trip_ms > 0)
    g_assert_true (pick_complete_grant (
        pick, pick_make_grant (pick, 0, &choice), c->round_trip_ms));
  g_assert_cmpuint (pick_make_grant (pick, start, &choice), !=, 0);
  g_assert_cmpstr (choice.router, ==, "r1");
  if (c->message_at > 0)
    announce_work (pick, "r1", NULL, false, start + c->message_at);
  g_assert_cmpuint (pick_expire_grants (pick, start + c->next_grant), ==,
                    c->held);
  g_assert_cmpuint (pick_make_grant (pick, start + c->next_grant, &choice), !=,
                    0);
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

  announce_work (pick, "r1", &a, false, 0);
  announce_work (pick, "r1", &b, true, 0);
  g_assert_cmpuint (pick_count_waiting (pick), ==, 1);
  grant = pick_make_grant (pick, 0, &choice);
  g_assert_cmpstr (choice.account, ==, "b");
  pick_update_waiting (pick, "r1", &none, 1);
  g_assert_true (pick_complete_grant (pick, grant, 1));
  g_assert_cmpuint (pick_make_grant (pick, 1, &choice), ==, 0);

  announce_work (pick, "r1", &a, false, 10);
  announce_work (pick, "r2", &b, false, 10);
  grant = pick_make_grant (pick, 10, &choice);
  pick_remove_router (pick, "r1");
  g_assert_false (pick_complete_grant (pick, grant, 10));
  g_assert_cmpuint (pick_make_grant (pick, 10, &choice), !=, 0);
  g_assert_cmpstr (choice.router, ==, "r2");
  g_assert_cmpuint (pick_expire_grants (pick, 10 + LIFETIME_MS), ==, 0);
  g_assert_cmpuint (pick_count_waiting (pick), ==, 0);
}

/* Accounts with equal virtual time are served in turn, and grants made in one
   burst are spread once the agent knows by how much a request advances an
   account.  */
static void
test_spread (void)
{
  g_autoptr (pick_t) pick = pick_new ();
  msg_waiting_t a = { "a", 9, 0, 0, 0 };
  msg_waiting_t b = { "b", 9, 0, 0, 0 };
  msg_waiting_t moved = { "a", 8, 0, 0, 100 };
  pick_choice_t choice;
  char first;

  announce_work (pick, "r1", &a, false, 0);
  announce_work (pick, "r1", &b, false, 0);
  (void)pick_make_grant (pick, 0, &choice);
  first = choice.account[0];
  (void)pick_make_grant (pick, 0, &choice);
  g_assert_true (choice.account[0] != first);

  pick_update_waiting (pick, "r1", &moved, 1);
  moved = (msg_waiting_t){ "b", 8, 0, 0, 110 };
  pick_update_waiting (pick, "r1", &moved, 1);
  (void)pick_expire_grants (pick, PICK_GRANT_LIFETIME_MS);
  announce_work (pick, "r1", NULL, false, PICK_GRANT_LIFETIME_MS);
  (void)pick_make_grant (pick, PICK_GRANT_LIFETIME_MS, &choice);
  g_assert_cmpstr (choice.account, ==, "a");
  (void)pick_make_grant (pick, PICK_GRANT_LIFETIME_MS, &choice);
  g_assert_cmpstr (choice.account, ==, "b");
  g_assert_true (choice.floor == 100);
}

static void
test_carried_forward (void)
{
  /* Account a is announced again and again, b once.  Both are served alike, so
     b's old virtual time must be extrapolated and not taken for the least: the
     router would decline a's slot as stale against it, and the slot would stay
     empty meanwhile.  */
  g_autoptr (pick_t) pick = pick_new ();
  msg_waiting_t a = { "a", 9, 0, 0, 0 };
  msg_waiting_t b = { "b", 9, 0, 0, 40 };
  pick_choice_t choice;

  announce_work (pick, "r1", &a, false, 1000);
  announce_work (pick, "r1", &b, false, 1000);
  for (cfd_time_t now = 1100; now <= 1500; now += 100)
    {
      a.virtual_time = (double)(now - 1000);
      announce_work (pick, "r1", &a, false, now);
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
  g_test_add_func ("/pick/life", test_grant_lifetime);
  for (size_t i = 0; i < G_N_ELEMENTS (overdue_cases); i++)
    {
      g_autofree char *path
          = g_strconcat ("/pick/overdue/", overdue_cases[i].name, NULL);
      g_test_add_data_func (path, &overdue_cases[i], test_answer_overdue);
    }
  g_test_add_func ("/pick/withdrawal", test_withdrawal);
  g_test_add_func ("/pick/carried-forward", test_carried_forward);
  g_test_add_func ("/pick/spread", test_spread);
  return g_test_run ();
}
