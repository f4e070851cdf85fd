/* Tests of a home: what it inherits, counts and bounds.  */

#include "share/share.h"

#include <math.h>

#define TOLERANCE 1e-6

static void
assert_near (double a, double b)
{
  g_assert_cmpfloat (fabs (a - b), <, TOLERANCE);
}

static void
store_vt (void *user, const char *router, const msg_share_entry_t *entry)
{
  *(double *)user = entry->virtual_time;
}

/* Returns the virtual time that HOME now answers for its only account.  */
static double
get_answered_vt (home_t *home, cfd_time_t now)
{
  double vt = NAN;

  home_emit_due (home, now, store_vt, &vt);
  return vt;
}

typedef struct
{
  const char *name;
  msg_report_entry_t reports[3]; /* of three routers, in this order */
  double vt;
} rebuild_case_t;

#define REPORT(CHARGED, ACKED, LAST_VT, FLOOR)                                \
  {                                                                           \
    .account = "acme", .service = "draft", .sequence = 1, .charged = CHARGED, \
    .acked = ACKED, .last_vt = LAST_VT, .floor = FLOOR, .backlogged = true    \
  }

static const rebuild_case_t rebuild_cases[] = {
  { "what the previous home had not counted is added once each",
    { REPORT (150, 100, 300, -INFINITY), REPORT (120, 100, 300, -INFINITY),
      REPORT (100, 100, 300, -INFINITY) },
    370 },
  { "a refund is kept",
    { REPORT (94, 100, 300, -INFINITY), REPORT (100, 100, 300, -INFINITY),
      REPORT (100, 100, 300, -INFINITY) },
    294 },
  { "the newest answer of the previous home counts",
    { REPORT (110, 100, 300, -INFINITY), REPORT (100, 100, 305, -INFINITY),
      REPORT (100, 100, 290, -INFINITY) },
    315 },
  { "a backlogged account is not idle for its new home",
    { REPORT (100, 100, 300, 900), REPORT (100, 100, 300, 900),
      REPORT (100, 100, 300, 900) },
    300 },
  { "what was lowered is not restored by the next report",
    { REPORT (5100, 100, 300, 250), REPORT (100, 100, 305, -INFINITY),
      REPORT (100, 100, 300, -INFINITY) },
    255 + SHARE_WINDOW_MIN_TOKENS },
  { "a restarted router adds what it charged since",
    { REPORT (5, 0, 0, 290), REPORT (100, 100, 300, 290),
      REPORT (100, 100, 300, 290) },
    305 },
};

static void
test_rebuild (gconstpointer data)
{
  const rebuild_case_t *c = data;
  static const char *const routers[] = { "r0", "r1", "r2" };
  g_autoptr (home_t) home = home_new ();
  for (unsigned i = 0; i < 3; i++)
    home_apply_report (home, routers[i], 1, &c->reports[i], 10000 + i);
  assert_near (get_answered_vt (home, 10010), c->vt);
}

typedef struct
{
  const char *name;
  double vt_before;
  double floor;
  cfd_time_t idle_ms;
  bool reports_idle; /* its router reported that, at once */
  double vt_after;
} clamp_case_t;

static const clamp_case_t clamp_cases[] = {
  { "idle below the floor is raised", 100, 900, SHARE_IDLE_MS + 1, true, 900 },
  { "missing reports do not mean idle", 100, 900, SHARE_IDLE_MS + 1, false,
    100 },
  { "a short gap does not mean idle", 100, 900, SHARE_IDLE_MS / 2, true, 100 },
  { "ahead of the floor stays", 1200, 900, SHARE_IDLE_MS + 1, true, 1200 },
  { "debt is bounded", SHARE_WINDOW_MIN_TOKENS + 5000, 900, 100, false,
    SHARE_WINDOW_MIN_TOKENS + 900 },
  { "credit is bounded", 100, SHARE_WINDOW_MIN_TOKENS + 5000, 100, false,
    5000 },
  { "an outdated floor does not raise", 100, -INFINITY, 100, false, 100 },
  { "an outdated floor does not lower", SHARE_WINDOW_MIN_TOKENS + 5000,
    -INFINITY, 100, false, SHARE_WINDOW_MIN_TOKENS + 5000 },
};

static void
test_clamping (void)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (clamp_cases); i++)
    {
      const clamp_case_t *c = &clamp_cases[i];
      g_autoptr (home_t) home = home_new ();
      msg_report_entry_t entry = { .account = "acme",
                                   .service = "draft",
                                   .sequence = 1,
                                   .charged = c->vt_before,
                                   .floor = -INFINITY,
                                   .backlogged = true };
      cfd_time_t now = 10000;

      g_test_message ("%s", c->name);
      home_apply_report (home, "r0", 1, &entry, now);
      entry.sequence++;
      entry.backlogged = false;
      if (c->reports_idle)
        home_apply_report (home, "r0", 1, &entry, now);
      now += c->idle_ms;
      entry.sequence++;
      entry.backlogged = true;
      entry.floor = c->floor;
      home_apply_report (home, "r0", 1, &entry, now);
      assert_near (get_answered_vt (home, now), c->vt_after);
    }
}

static void
test_window_follows_charges (void)
{
  /* One request of an account costs more than the window.  It must be charged
     in full, or each such request would cost no more than the window.  What a
     regular report adds widens the window; a report after a silence does not,
     since it brings all that one side of a partition charged.  */
  static const struct
  {
    cfd_time_t silence_ms;
    double vt;
  } cases[]
      = { { SHARE_REFRESH_INTERVAL_MS, 7000 },
          { SHARE_REFRESH_INTERVAL_MS + 1, 100 + SHARE_WINDOW_MIN_TOKENS } };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (home_t) home = home_new ();
      msg_report_entry_t entry = { .account = "acme",
                                   .service = "draft",
                                   .sequence = 1,
                                   .charged = 100,
                                   .floor = 100,
                                   .backlogged = true };

      home_apply_report (home, "r0", 1, &entry, 10000);
      entry.sequence = 2;
      entry.charged = 7000;
      home_apply_report (home, "r0", 1, &entry, 10000 + cases[i].silence_ms);
      assert_near (get_answered_vt (home, 20000), cases[i].vt);
    }
}

/* An account has work on both sides of a partition and a home on each.  After
   the rejoin the routers of the second side report to the first home again.
   It must add what they charged meanwhile once, also what the other home has
   acknowledged.  If it has removed their counters, the greater of both sides
   counts, and nothing twice.  */
static void
test_partition_rejoined (void)
{
  static const struct
  {
    cfd_time_t partition_ms;
    double vt;
  } cases[] = { { 10000, 100 + 70 + 40 + 5 },
                { SHARE_HOME_EXPIRY_MS + 10000, 100 + 70 + 5 } };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (home_t) home = home_new ();
      msg_report_entry_t first = { .account = "acme",
                                   .service = "draft",
                                   .sequence = 1,
                                   .charged = 60,
                                   .floor = -INFINITY,
                                   .backlogged = true };
      msg_report_entry_t second = first;
      cfd_time_t rejoined = 10000 + cases[i].partition_ms;

      second.charged = 40;
      home_apply_report (home, "r0", 1, &first, 10000);
      home_apply_report (home, "r1", 2, &second, 10000);
      first.sequence = 2;
      first.charged += 70;
      home_apply_report (home, "r0", 1, &first, rejoined - 1);
      home_expire (home, rejoined);
      second.sequence = 9;
      second.charged += 40 + 5;
      second.acked = 80;
      second.last_vt = 140;
      home_apply_report (home, "r1", 2, &second, rejoined);
      assert_near (get_answered_vt (home, rejoined), cases[i].vt);
    }
}

/* A home freezes for 5 s while three routers serve its account with the
   answers of another home, and receives the reports of all three when it
   resumes.  They must add up.  If the first report raised the account as idle
   or bounded its credit, the other two would come on top of that, and its
   callers would wait for service they never got.  Soon after, the window
   applies again.  */
static void
test_home_resumes (void)
{
  static const char *const routers[] = { "r0", "r1", "r2" };
  static const double charges[] = { 400, 2400 };

  for (unsigned row = 0; row < G_N_ELEMENTS (charges); row++)
    {
      g_autoptr (home_t) home = home_new ();
      double floor = 3 * charges[row];
      msg_report_entry_t entry = { .account = "acme",
                                   .service = "draft",
                                   .sequence = 1,
                                   .floor = 0,
                                   .backlogged = true };

      for (unsigned i = 0; i < 3; i++)
        home_apply_report (home, routers[i], 1, &entry, 10000);
      entry.sequence++;
      entry.charged = charges[row];
      entry.floor = floor;
      for (unsigned i = 0; i < 3; i++)
        home_apply_report (home, routers[i], 1, &entry, 15000 + i);
      assert_near (get_answered_vt (home, 15010), floor);
      entry.sequence++;
      entry.floor = floor + SHARE_WINDOW_MIN_TOKENS + 500;
      home_apply_report (home, "r0", 1, &entry, 16000);
      assert_near (get_answered_vt (home, 16000), floor + 500);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (rebuild_cases); i++)
    {
      g_autofree char *path
          = g_strconcat ("/home/rebuild/", rebuild_cases[i].name, NULL);
      g_test_add_data_func (path, &rebuild_cases[i], test_rebuild);
    }
  g_test_add_func ("/home/bounds", test_clamping);
  g_test_add_func ("/home/window-follows-charges",
                   test_window_follows_charges);
  g_test_add_func ("/home/resumed", test_home_resumes);
  g_test_add_func ("/home/both-sides", test_partition_rejoined);
  return g_test_run ();
}
