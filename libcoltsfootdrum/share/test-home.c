/* A home's own decisions: what it takes over, counts, and bounds.  */

#include "share/share.h"

#include <math.h>

#define TOLERANCE 1e-6

static void
assert_near (double a, double b)
{
  g_assert_cmpfloat (fabs (a - b), <, TOLERANCE);
}

static void
keep_time (void *user, const char *router, const msg_share_entry_t *entry)
{
  *(double *)user = entry->virtual_time;
}

/* The virtual time that HOME now tells of its only account.  */
static double
told (home_t *home, cfd_time_t now)
{
  double time = NAN;

  home_emit_due (home, now, keep_time, &time);
  return time;
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
  { "what the former home had not counted is added once each",
    { REPORT (150, 100, 300, -INFINITY), REPORT (120, 100, 300, -INFINITY),
      REPORT (100, 100, 300, -INFINITY) },
    370 },
  { "a charge taken back stays so",
    { REPORT (94, 100, 300, -INFINITY), REPORT (100, 100, 300, -INFINITY),
      REPORT (100, 100, 300, -INFINITY) },
    294 },
  { "the newest word of the former home counts",
    { REPORT (110, 100, 300, -INFINITY), REPORT (100, 100, 305, -INFINITY),
      REPORT (100, 100, 290, -INFINITY) },
    315 },
  { "an account at work is not idle for its new home",
    { REPORT (100, 100, 300, 900), REPORT (100, 100, 300, 900),
      REPORT (100, 100, 300, 900) },
    300 },
  { "what was forgiven is not brought back by the next word",
    { REPORT (5100, 100, 300, 250), REPORT (100, 100, 305, -INFINITY),
      REPORT (100, 100, 300, -INFINITY) },
    255 + SHARE_WINDOW_MIN_TOKENS },
  { "a restarted router adds what it gave since",
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
  assert_near (told (home, 10010), c->vt);
}

typedef struct
{
  const char *name;
  double vt_before;
  double floor;
  cfd_time_t idle_ms;
  bool says_idle; /* its router did, at once */
  double vt_after;
} bound_case_t;

static const bound_case_t bound_cases[] = {
  { "idle below the floor is lifted", 100, 900, SHARE_IDLE_MS + 1, true, 900 },
  { "silence is no idleness", 100, 900, SHARE_IDLE_MS + 1, false, 100 },
  { "a short gap is no idleness", 100, 900, SHARE_IDLE_MS / 2, true, 100 },
  { "ahead of the floor stays", 1200, 900, SHARE_IDLE_MS + 1, true, 1200 },
  { "debt is bounded", SHARE_WINDOW_MIN_TOKENS + 5000, 900, 100, false,
    SHARE_WINDOW_MIN_TOKENS + 900 },
  { "credit is bounded", 100, SHARE_WINDOW_MIN_TOKENS + 5000, 100, false,
    5000 },
  { "an old floor gives nothing back", 100, -INFINITY, 100, false, 100 },
  { "an old floor clamps nothing", SHARE_WINDOW_MIN_TOKENS + 5000, -INFINITY,
    100, false, SHARE_WINDOW_MIN_TOKENS + 5000 },
};

static void
test_bounds (void)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (bound_cases); i++)
    {
      const bound_case_t *c = &bound_cases[i];
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
      if (c->says_idle)
        home_apply_report (home, "r0", 1, &entry, now);
      now += c->idle_ms;
      entry.sequence++;
      entry.backlogged = true;
      entry.floor = c->floor;
      home_apply_report (home, "r0", 1, &entry, now);
      assert_near (told (home, now), c->vt_after);
    }
}

static void
test_window_follows_charges (void)
{
  /* One request of an account costs more than the window.  It is charged in
     whole: else each such request would cost the window only.  What a router
     in hearing adds widens the window; what comes after a silence does not,
     for it is all that a side of a partition gave.  */
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
      assert_near (told (home, 20000), cases[i].vt);
    }
}

/* Both sides of a partition have a home for an account that has work on each.
   After the rejoin the routers of the second side report to the first home
   again.  It adds once what they gave meanwhile, also what the other home has
   acknowledged; where it has forgotten them, the greater of both sides counts
   and nothing twice.  */
static void
test_both_sides (void)
{
  static const struct
  {
    cfd_time_t apart_ms;
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
      cfd_time_t joined = 10000 + cases[i].apart_ms;

      second.charged = 40;
      home_apply_report (home, "r0", 1, &first, 10000);
      home_apply_report (home, "r1", 2, &second, 10000);
      first.sequence = 2;
      first.charged += 70;
      home_apply_report (home, "r0", 1, &first, joined - 1);
      home_expire (home, joined);
      second.sequence = 9;
      second.charged += 40 + 5;
      second.acked = 80;
      second.last_vt = 140;
      home_apply_report (home, "r1", 2, &second, joined);
      assert_near (told (home, joined), cases[i].vt);
    }
}

/* A home freezes for 5 s while three routers give its account what is due, by
   another home's word, and hears all three when it wakes.  What they tell adds
   up.  Were the account taken for idle, or its credit bounded, at the first
   word, the other two would come on top of that, and its callers would wait
   for what they never got.  Soon after, the window holds again.  */
static void
test_woken (void)
{
  static const char *const routers[] = { "r0", "r1", "r2" };
  static const double parts[] = { 400, 2400 };

  for (unsigned row = 0; row < G_N_ELEMENTS (parts); row++)
    {
      g_autoptr (home_t) home = home_new ();
      double floor = 3 * parts[row];
      msg_report_entry_t entry = { .account = "acme",
                                   .service = "draft",
                                   .sequence = 1,
                                   .floor = 0,
                                   .backlogged = true };

      for (unsigned i = 0; i < 3; i++)
        home_apply_report (home, routers[i], 1, &entry, 10000);
      entry.sequence++;
      entry.charged = parts[row];
      entry.floor = floor;
      for (unsigned i = 0; i < 3; i++)
        home_apply_report (home, routers[i], 1, &entry, 15000 + i);
      assert_near (told (home, 15010), floor);
      entry.sequence++;
      entry.floor = floor + SHARE_WINDOW_MIN_TOKENS + 500;
      home_apply_report (home, "r0", 1, &entry, 16000);
      assert_near (told (home, 16000), floor + 500);
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
  g_test_add_func ("/home/bounds", test_bounds);
  g_test_add_func ("/home/window-follows-charges",
                   test_window_follows_charges);
  g_test_add_func ("/home/woken", test_woken);
  g_test_add_func ("/home/both-sides", test_both_sides);
  return g_test_run ();
}
