/* Fair share: counters, homes and the virtual time they agree on.  */

#include "share/share.h"

#include <math.h>

#define ROUTERS 3
#define TOLERANCE 1e-6

/* A home with routers, and the frames on their way between them.  */
typedef struct
{
  home_t *home;
  share_t *shares[ROUTERS];
  GArray *reports; /* of report_t */
  GArray *answers; /* of answer_t */
  unsigned from;
} net_t;

typedef struct
{
  unsigned router;
  msg_report_entry_t entry;
} report_t;

typedef struct
{
  unsigned router;
  msg_share_entry_t entry;
} answer_t;

static void
net_init (net_t *net)
{
  net->home = home_new ();
  for (unsigned i = 0; i < ROUTERS; i++)
    net->shares[i] = share_new ();
  net->reports = g_array_new (FALSE, FALSE, sizeof (report_t));
  net->answers = g_array_new (FALSE, FALSE, sizeof (answer_t));
}

static void
net_clear (net_t *net)
{
  home_free (net->home);
  for (unsigned i = 0; i < ROUTERS; i++)
    share_free (net->shares[i]);
  g_array_unref (net->reports);
  g_array_unref (net->answers);
}

/* The only home there is.  */
#define HOME 1

static uint64_t
collect_report (void *user, const msg_report_entry_t *entry)
{
  net_t *net = user;
  report_t report = { net->from, *entry };

  g_array_append_val (net->reports, report);
  return HOME;
}

static void
collect_answer (void *user, const char *router, const msg_share_entry_t *entry)
{
  net_t *net = user;
  answer_t answer = { (unsigned)(router[1] - '0'), *entry };

  g_array_append_val (net->answers, answer);
}

static void
deliver_report (net_t *net, const report_t *report, cfd_time_t now)
{
  char name[] = { 'r', (char)('0' + report->router), '\0' };

  home_apply_report (net->home, name, report->router + 1, &report->entry, now);
}

/* Everything due is delivered, once and in order.  */
static void
net_settle (net_t *net, cfd_time_t now)
{
  for (net->from = 0; net->from < ROUTERS; net->from++)
    share_emit_due (net->shares[net->from], now, collect_report, net);
  for (unsigned i = 0; i < net->reports->len; i++)
    deliver_report (net, &g_array_index (net->reports, report_t, i), now);
  g_array_set_size (net->reports, 0);
  home_emit_due (net->home, now, collect_answer, net);
  for (unsigned i = 0; i < net->answers->len; i++)
    {
      answer_t *answer = &g_array_index (net->answers, answer_t, i);

      share_apply_answer (net->shares[answer->router], &answer->entry, now);
    }
  g_array_set_size (net->answers, 0);
}

static double
vt (const net_t *net, unsigned router)
{
  return share_get_virtual_time (net->shares[router], "acme", "draft");
}

static void
assert_near (double a, double b)
{
  g_assert_cmpfloat (fabs (a - b), <, TOLERANCE);
}

static void
test_sum_over_routers (void)
{
  net_t net;

  net_init (&net);
  for (unsigned i = 0; i < ROUTERS; i++)
    {
      share_set_backlogged (net.shares[i], "acme", "draft", true, 0);
      share_charge (net.shares[i], "acme", "draft", 100, 2, 0);
    }
  net_settle (&net, 10);
  net_settle (&net, 2000);
  for (unsigned i = 0; i < ROUTERS; i++)
    assert_near (vt (&net, i), 150);
  share_charge (net.shares[0], "acme", "draft", -40, 2, 2000);
  net_settle (&net, 2010);
  assert_near (vt (&net, 2), 130);
  net_clear (&net);
}

static void
test_lossy_network (void)
{
  /* Reports and answers are lost, doubled and reordered at random while
     service goes on.  Once the network is whole again, every router must know
     the exact sum: reports are absolute, so a lost one is made good by the
     next and a doubled one adds nothing.  */
  g_autoptr (GRand) rand = g_rand_new_with_seed (20261202);
  double total = 0;
  cfd_time_t now = 0;
  net_t net;

  net_init (&net);
  for (unsigned i = 0; i < ROUTERS; i++)
    share_set_backlogged (net.shares[i], "acme", "draft", true, now);
  for (unsigned step = 0; step < 2000; step++)
    {
      unsigned router = (unsigned)g_rand_int_range (rand, 0, ROUTERS);
      double tokens = g_rand_int_range (rand, -20, 100);

      now += 5;
      total += tokens;
      share_charge (net.shares[router], "acme", "draft", tokens, 1, now);
      net.from = router;
      share_emit_due (net.shares[router], now, collect_report, &net);
      for (unsigned i = 0; i < 2 && net.reports->len > 0; i++)
        {
          unsigned pick
              = (unsigned)g_rand_int_range (rand, 0, (gint32)net.reports->len);

          deliver_report (&net, &g_array_index (net.reports, report_t, pick),
                          now);
        }
      if (net.reports->len > 8)
        g_array_set_size (net.reports, 4);
      home_emit_due (net.home, now, collect_answer, &net);
      for (unsigned i = 0; i < net.answers->len; i++)
        {
          answer_t *answer = &g_array_index (net.answers, answer_t, i);

          if (g_rand_boolean (rand))
            share_apply_answer (net.shares[answer->router], &answer->entry,
                                now);
        }
      if (net.answers->len > 8)
        g_array_set_size (net.answers, 0);
    }
  g_array_set_size (net.reports, 0);
  g_array_set_size (net.answers, 0);
  for (unsigned i = 0; i < 3; i++)
    net_settle (&net, now += SHARE_REFRESH_INTERVAL_MS);
  for (unsigned i = 0; i < ROUTERS; i++)
    assert_near (vt (&net, i), total);
  net_clear (&net);
}

static void
test_new_home_is_rebuilt (void)
{
  /* The home dies and another router becomes home with nothing in memory.
     The first reports bring the virtual time its predecessor had told, so
     the account neither starts again at 0 (and overtakes everyone) nor is
     charged twice.  */
  net_t net;

  net_init (&net);
  for (unsigned i = 0; i < ROUTERS; i++)
    {
      share_set_backlogged (net.shares[i], "acme", "draft", true, 0);
      share_charge (net.shares[i], "acme", "draft", 1000, 1, 0);
    }
  net_settle (&net, 10);
  net_settle (&net, 1100);
  home_free (net.home);
  net.home = home_new ();
  share_charge (net.shares[1], "acme", "draft", 50, 1, 1200);
  net_settle (&net, 2300);
  net_settle (&net, 3400);
  for (unsigned i = 0; i < ROUTERS; i++)
    assert_near (vt (&net, i), 3050);
  net_clear (&net);
}

static void
test_restarted_router (void)
{
  /* A router restarts with empty counters under a new incarnation.  What its
     former life gave out stays counted, and its small new counter must not
     be taken for a huge refund.  */
  g_autoptr (home_t) home = home_new ();
  msg_report_entry_t old = { .account = "acme",
                             .service = "draft",
                             .sequence = 9,
                             .charged = 500,
                             .floor = -INFINITY,
                             .backlogged = true };
  msg_report_entry_t fresh = old;
  net_t net = { .home = home };

  net.answers = g_array_new (FALSE, FALSE, sizeof (answer_t));
  home_apply_report (home, "r0", 1, &old, 0);
  fresh.sequence = 1;
  fresh.charged = 30;
  home_apply_report (home, "r0", 2, &fresh, 100);
  home_emit_due (home, 100, collect_answer, &net);
  g_assert_cmpuint (net.answers->len, ==, 1);
  assert_near (g_array_index (net.answers, answer_t, 0).entry.virtual_time,
               530);
  g_array_unref (net.answers);
}

/* The other home takes over with what it knew, or else a new one with
   nothing.  */
static void
change_home (net_t *net, home_t **other, gboolean is_new)
{
  home_t *former = net->home;

  net->home = *other;
  *other = former;
  if (!is_new)
    return;
  home_free (net->home);
  net->home = home_new ();
}

static void
test_moving_homes (void)
{
  /* Routers charge and take back at random while the home of the account
     moves: to a home that knows nothing, or back to the one before, which
     knows old counters.  Nothing is on its way at a change, so each home must
     know the exact sum: a charge counts once, wherever it was reported.  */
  g_autoptr (GRand) rand = g_rand_new_with_seed (20261203);
  home_t *other = home_new ();
  double total = 0;
  cfd_time_t now = 0;
  net_t net;

  net_init (&net);
  for (unsigned i = 0; i < ROUTERS; i++)
    share_set_backlogged (net.shares[i], "acme", "draft", true, now);
  for (unsigned step = 0; step < 400; step++)
    {
      unsigned router = (unsigned)g_rand_int_range (rand, 0, ROUTERS);
      double tokens = g_rand_int_range (rand, -20, 100);

      total += tokens;
      share_charge (net.shares[router], "acme", "draft", tokens, 1, now);
      if (step % 20 == 19)
        change_home (&net, &other, g_rand_boolean (rand));
      now += SHARE_REFRESH_INTERVAL_MS;
      net_settle (&net, now);
    }
  net_settle (&net, now + SHARE_REFRESH_INTERVAL_MS);
  for (unsigned i = 0; i < ROUTERS; i++)
    assert_near (vt (&net, i), total);
  home_free (other);
  net_clear (&net);
}

static uint64_t
count_report (void *user, const msg_report_entry_t *entry)
{
  unsigned *reports = user;

  (*reports)++;
  return HOME;
}

/* What USER, a number, says is the home of all.  */
static uint64_t
home_is (void *user, const char *account, const char *service)
{
  return *(const uint64_t *)user;
}

static unsigned
count_due (share_t *share, cfd_time_t now)
{
  unsigned reports = 0;

  share_emit_due (share, now, count_report, &reports);
  return reports;
}

/* An account's home dies while its work waits here and at other routers, and
   its service changes seldom.  The next home hears at once of what was given
   out here, not with the next change: until then its answers would lack that
   part, and the caller would get it again.  What stays where it was, and what
   has long been idle, is not told.  */
static void
test_moved (void)
{
  g_autoptr (share_t) share = share_new ();
  uint64_t home = HOME;

  share_set_backlogged (share, "acme", "draft", true, 1000);
  share_charge (share, "idle", "draft", 10, 1, 1);
  g_assert_cmpuint (count_due (share, 1000), ==, 2);
  share_mark_moved_due (share, 1500, home_is, &home);
  g_assert_cmpuint (count_due (share, 1500), ==, 0);
  home++;
  share_mark_moved_due (share, 1500, home_is, &home);
  g_assert_cmpuint (count_due (share, 1500), ==, 1);
}

static void
add_up (void *user, const char *account, const char *service, double tokens)
{
  *(double *)user += tokens;
}

/* Three routers give an account the same.  Its home goes silent, and each of
   them knows but its own part: the callers of the account would get three
   shares until it has another home.  While answers are late, a charge here
   counts for the two others, and again for itself alone once one came.  An
   account with work here alone counts as before.  What moves is told.  */
static void
test_late (void)
{
  double moved = 0;
  cfd_time_t now = 0;
  net_t net;

  net_init (&net);
  for (unsigned step = 0; step < 100; step++)
    {
      for (unsigned i = 0; i < ROUTERS; i++)
        {
          share_set_backlogged (net.shares[i], "acme", "draft", true, now);
          share_charge (net.shares[i], "acme", "draft", 10, 1, now);
        }
      share_charge (net.shares[0], "lone", "draft", 10, 1, now);
      now += SHARE_REFRESH_INTERVAL_MS;
      net_settle (&net, now);
    }
  double before = vt (&net, 0);
  double lone = share_get_virtual_time (net.shares[0], "lone", "draft");

  share_set_home_late (net.shares[0], HOME + 1, true, add_up, &moved);
  share_charge (net.shares[0], "acme", "draft", 30, 1, now);
  share_charge (net.shares[0], "lone", "draft", 30, 1, now);
  assert_near (vt (&net, 0), before + 30);
  share_set_home_late (net.shares[0], HOME, true, add_up, &moved);
  assert_near (vt (&net, 0), before + 90);
  assert_near (moved, 60);
  share_set_home_late (net.shares[0], HOME, false, add_up, &moved);
  assert_near (moved, 0);
  share_set_home_late (net.shares[0], HOME, true, add_up, &moved);
  assert_near (share_get_virtual_time (net.shares[0], "lone", "draft"),
               lone + 30);
  net_settle (&net, now + 1);
  assert_near (vt (&net, 0), before + 30);
  net_clear (&net);
}

static void
test_floor_is_greatest_of_recent (void)
{
  /* Most grants come at the virtual time of those that wait; one for an
     account that asks for little comes far below.  The floor stays with the
     former, and falls when all grants are lower, as after a partition.  */
  g_autoptr (share_t) share = share_new ();

  share_record_floor (share, "draft", 500, 1000);
  share_record_floor (share, "draft", 700, 1500);
  share_record_floor (share, "draft", 20, 1600);
  assert_near (share_get_floor (share, "draft", 1600), 700);
  share_record_floor (share, "draft", 30, 1000 + SHARE_FLOOR_MAX_AGE_MS / 2);
  assert_near (share_get_floor (share, "draft", 2000), 700);
  share_record_floor (share, "draft", 60, 1000 + SHARE_FLOOR_MAX_AGE_MS);
  assert_near (share_get_floor (share, "draft", 3000), 60);
  share_record_floor (share, "draft", 50, 5000 + 2 * SHARE_FLOOR_MAX_AGE_MS);
  assert_near (share_get_floor (share, "draft", 9000), 50);
}

static void
test_forget (void)
{
  g_autoptr (share_t) share = share_new ();
  g_autoptr (home_t) home = home_new ();
  msg_report_entry_t entry = {
    .account = "acme", .service = "draft", .sequence = 1, .floor = -INFINITY
  };

  share_charge (share, "acme", "draft", 10, 1, 0);
  home_apply_report (home, "r0", 1, &entry, 0);
  share_expire (share, SHARE_ROUTER_EXPIRY_MS);
  home_expire (home, SHARE_HOME_EXPIRY_MS);
  g_assert_cmpuint (share_count_accounts (share), ==, 1);
  g_assert_cmpuint (home_count_accounts (home), ==, 1);
  share_expire (share, SHARE_ROUTER_EXPIRY_MS + 1);
  home_expire (home, SHARE_HOME_EXPIRY_MS + 1);
  g_assert_cmpuint (share_count_accounts (share), ==, 0);
  g_assert_cmpuint (home_count_accounts (home), ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/share/sum-over-routers", test_sum_over_routers);
  g_test_add_func ("/share/lossy-network", test_lossy_network);
  g_test_add_func ("/share/new-home-is-rebuilt", test_new_home_is_rebuilt);
  g_test_add_func ("/share/restarted-router", test_restarted_router);
  g_test_add_func ("/share/moving-homes", test_moving_homes);
  g_test_add_func ("/share/moved", test_moved);
  g_test_add_func ("/share/late", test_late);
  g_test_add_func ("/share/floor-is-greatest-of-recent",
                   test_floor_is_greatest_of_recent);
  g_test_add_func ("/share/forget", test_forget);
  return g_test_run ();
}
