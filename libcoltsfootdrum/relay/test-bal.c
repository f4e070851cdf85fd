/* Tests of load balance: a simulated zone whose routers exchange their figures
   late, lossily or not at all, and the platform's readiness checks.  */

#include "relay/bal.h"

#include <stdio.h>

#define TICK_MS 25
#define EXCHANGE_MS 100
#define CHECK_MS 1000
#define MAX_ROUTERS 9
/* Exchanges that are kept, as delays may reach 1.5 s.  */
#define KEPT 16
/* Share of a router's connections that it closes in a second.  */
#define CLOSES_PER_S (40. / 265.)

typedef struct
{
  bal_t *bal;
  unsigned share;
  double demand; /* of the callers whose hash chooses it, millicores */
  double moved;  /* share of them that is at others */
  bal_figures_t sent[KEPT];
  unsigned negatives; /* readiness checks in a row */
  bool is_silent;
  bool is_draining;
} router_t;

typedef struct
{
  router_t routers[MAX_ROUTERS];
  unsigned count;
  cfd_time_t now;
  double served; /* millicores x ms */
  unsigned in_rotation;
  unsigned min_in_rotation;
  /* Network: figures are sent at each INTERVAL-th exchange, are DELAYS
     exchanges late (-1: cut off), and the share LOSS of them is lost.  */
  unsigned interval;
  int delays[MAX_ROUTERS][MAX_ROUTERS];
  double loss;
  GRand *random;
} zone_t;

static const char *const names[]
    = { "a", "b", "c", "d", "e", "f", "g", "h", "i" };

static void
zone_clear (zone_t *zone)
{
  for (unsigned i = 0; i < zone->count; i++)
    bal_free (zone->routers[i].bal);
}

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (zone_t, zone_clear)

static unsigned
count_out (const zone_t *zone)
{
  unsigned out = 0;

  for (unsigned i = 0; i < zone->count; i++)
    out += bal_is_out (zone->routers[i].bal);
  return out;
}

static void
exchange (zone_t *zone)
{
  unsigned slot = (unsigned)(zone->now / EXCHANGE_MS);

  for (unsigned i = 0; i < zone->count; i++)
    zone->routers[i].sent[slot % KEPT]
        = bal_get_figures (zone->routers[i].bal);
  for (unsigned from = 0; from < zone->count; from++)
    for (unsigned to = 0; to < zone->count; to++)
      {
        const router_t *router = &zone->routers[from];
        int delay = zone->delays[from][to];

        if (delay < 0 || router->is_silent || slot % zone->interval != 0
            || (zone->loss > 0. && g_rand_double (zone->random) < zone->loss))
          continue;
        bal_set_figures (zone->routers[to].bal, zone->now, names[from],
                         &router->sent[(slot - (unsigned)delay) % KEPT]);
      }
}

/* Asks the routers whether they are ready; two negative answers take one out
   of rotation.  */
static void
check_readiness (zone_t *zone)
{
  zone->in_rotation = 0;
  for (unsigned i = 0; i < zone->count; i++)
    {
      router_t *router = &zone->routers[i];

      router->negatives = bal_is_out (router->bal) ? router->negatives + 1 : 0;
      zone->in_rotation += router->negatives < 2;
    }
  zone->min_in_rotation = MIN (zone->min_in_rotation, zone->in_rotation);
}

static void
tick_router (zone_t *zone, router_t *router, double moved)
{
  double demand = router->demand * (1. - router->moved);
  double share = MAX (router->share, 1);
  double busy;
  bal_sample_t sample = { .is_ready = !router->is_draining };

  if (router->negatives < 2)
    demand += moved;
  busy = MIN (demand / share, 1.);
  sample.busy_ms = busy * TICK_MS;
  sample.idle_ms = TICK_MS - sample.busy_ms;
  zone->served += busy * share * TICK_MS;
  bal_update (router->bal, zone->now, &sample);
  if (bal_must_close (router->bal, zone->now) && router->negatives >= 2)
    router->moved = MIN (router->moved + CLOSES_PER_S * TICK_MS / 1000., 1.);
}

static void
zone_run (zone_t *zone, int64_t ms)
{
  for (cfd_time_t end = zone->now + ms; zone->now < end;)
    {
      double moved = 0.; /* demand of callers that are at others */

      zone->now += TICK_MS;
      if (zone->now % EXCHANGE_MS == 0)
        exchange (zone);
      if (zone->now % CHECK_MS == 0)
        check_readiness (zone);
      for (unsigned i = 0; i < zone->count; i++)
        moved += zone->routers[i].demand * zone->routers[i].moved;
      moved /= MAX (zone->in_rotation, 1);
      for (unsigned i = 0; i < zone->count; i++)
        tick_router (zone, &zone->routers[i], moved);
    }
}

/* Starts a zone that has nothing to do.  */
static void
zone_init (zone_t *zone, const unsigned *shares, unsigned count)
{
  *zone = (zone_t){ .count = count, .now = 1000000, .interval = 1 };
  zone->in_rotation = zone->min_in_rotation = count;
  for (unsigned i = 0; i < count; i++)
    {
      router_t *router = &zone->routers[i];
      const char *others[MAX_ROUTERS] = { NULL };

      for (unsigned k = 0; k + 1 < count; k++)
        others[k] = names[k + (k >= i)];
      router->share = shares[i];
      router->bal = bal_new (names[i], shares[i]);
      bal_set_zone (router->bal, others);
    }
  zone_run (zone, 2000);
}

/* NULL: nothing to do.  */
static void
set_demands (zone_t *zone, const unsigned *demands)
{
  for (unsigned i = 0; i < zone->count; i++)
    zone->routers[i].demand = demands != NULL ? demands[i] : 0.;
}

typedef struct
{
  const char *path;
  unsigned out;        /* routers that leave */
  double min_gain;     /* work done, by that without balance */
  const char *routers; /* "SHARE/DEMAND ...", in millicores */
} replay_case_t;

#define WAVE_MS 20000

static const replay_case_t replay_cases[] = {
  /* Callers of the weakest are served late while others of the zone idle.  */
  { "/bal/replay/page", 3, 1.3,
    "68/204 68/204 68/204 500/40 500/40 500/40 500/40" },
  /* Idle routers leave, or the highest of the weak ones can't.  */
  { "/bal/replay/one", 1, 1.3,
    "68/4 68/4 68/204 220/30 220/30 500/40 500/40" },
  /* Callers are moved to routers that have no time either.  */
  { "/bal/replay/full", 0, 1.,
    "68/204 68/10 68/10 220/180 220/180 500/420 500/420" },
  /* The zone's only router leaves.  */
  { "/bal/replay/single", 0, 1., "68/204" },
  /* Routers leave on the same evidence, or all wait for one another.  */
  { "/bal/replay/at-once", 2, 1.3, "68/204 68/204 68/204 500/9 500/9" },
  /* In a small zone the platform uses all routers, as too many have left.  */
  { "/bal/replay/three", 1, 1.3, "68/204 500/10 500/10" },
  /* Deployments with equal routers are no longer served as before.  */
  { "/bal/replay/equal", 0, 1.,
    "90/270 90/270 90/10 90/10 90/10 90/10 90/10" },
  { "/bal/replay/similar", 0, 1.,
    "90/270 90/270 170/10 170/10 170/10 170/10 170/10" },
  /* A router whose share isn't known leaves, or counts as a strong one.  */
  { "/bal/replay/unknown", 0, 1.,
    "0/204 0/204 0/204 68/204 220/30 500/40 500/40" },
  /* Routers are out of rotation without need.  */
  { "/bal/replay/steady", 0, 1.,
    "68/30 68/30 68/30 220/80 220/80 500/200 500/200" },
};

/* Guards against the failure that its row names.  */
static void
test_replay (gconstpointer data)
{
  const replay_case_t *test = data;
  g_auto (GStrv) routers = g_strsplit (test->routers, " ", -1);
  unsigned count = g_strv_length (routers);
  unsigned shares[MAX_ROUTERS];
  unsigned demands[MAX_ROUTERS] = { 0 };
  double without = 0.;
  g_auto (zone_t) zone = { 0 };
  unsigned most_out = 0;

  for (unsigned i = 0; i < count; i++)
    {
      g_assert_cmpint (sscanf (routers[i], "%u/%u", &shares[i], &demands[i]),
                       ==, 2);
      without += MIN (demands[i], MAX (shares[i], 1)) * (double)WAVE_MS;
    }
  zone_init (&zone, shares, count);
  zone.served = 0.;
  set_demands (&zone, demands);
  for (unsigned i = 0; i < WAVE_MS / EXCHANGE_MS; i++)
    {
      zone_run (&zone, EXCHANGE_MS);
      most_out = MAX (most_out, count_out (&zone));
    }
  g_test_message ("gain=%.3f", zone.served / without);
  g_assert_cmpuint (most_out, ==, test->out);
  g_assert_cmpuint (zone.min_in_rotation, ==, count - test->out);
  g_assert_cmpfloat (zone.served, >=, test->min_gain * without * 0.999);
  /* After the wave no router stays out.  */
  set_demands (&zone, NULL);
  zone_run (&zone, 21000);
  g_assert_cmpuint (count_out (&zone), ==, 0);
}

static const unsigned page_shares[] = { 68, 68, 68, 500, 500, 500, 500 };
static const unsigned page_demands[] = { 204, 204, 204, 40, 40, 40, 40 };

/* Brings the page's zone to the state in which three routers are out.  */
static void
zone_init_wave (zone_t *zone)
{
  zone_init (zone, page_shares, G_N_ELEMENTS (page_shares));
  set_demands (zone, page_demands);
  zone_run (zone, 4000);
  g_assert_cmpuint (count_out (zone), ==, 3);
}

/* Overloads the routers A, B and C one after the other.  */
static void
expect_three_out (unsigned a, unsigned b, unsigned c, int64_t pause_ms)
{
  unsigned shares[] = { 500, 500, 500, 500, 500, 500, 500 };
  const unsigned weak[] = { a, b, c };
  g_auto (zone_t) zone = { 0 };

  shares[a] = shares[b] = shares[c] = 68;
  zone_init (&zone, shares, 7);
  for (unsigned i = 0; i < 3; i++)
    {
      zone.routers[weak[i]].demand = 204.;
      zone_run (&zone, pause_ms);
    }
  zone_run (&zone, 1500);
  for (unsigned i = 0; i < 7; i++)
    g_assert_cmpint (bal_is_out (zone.routers[i].bal), ==, shares[i] == 68);
}

/* Guards against overloaded routers that may not leave because of their names
   or of the order in which they are overloaded.  */
static void
test_any_names (void)
{
  for (unsigned a = 0; a < 7; a++)
    for (unsigned b = 0; b < 7; b++)
      for (unsigned c = 0; c < 7; c++)
        for (int64_t pause_ms = 0; pause_ms <= 1500; pause_ms += 750)
          if (a != b && b != c && a != c)
            expect_three_out (a, b, c, pause_ms);
}

#define NONE ((bal_presence_t)9)

/* Reports of four neighbours of share 500 or, of the last, 40 (NONE: lost),
   and the state of a busy router of share 68 after them.  */
typedef struct
{
  cfd_time_t at;
  bal_presence_t presences[4];
  bal_presence_t own;
} report_t;

/* Guards against a router that leaves on figures that may have been sent
   before its announcement or are no longer true, keeps an announcement that
   has lost its reason, or counts one that may leave too.  */
static void
test_announcement (void)
{
  static const char *const others[] = { "a", "b", "c", "d", NULL };
  static const bal_sample_t busy = { .busy_ms = 1000., .is_ready = true };
  static const report_t reports[] = {
    { 0, { 1, 1, 1, 1 }, BAL_READY },
    { 900, { 1, 1, 1, 1 }, BAL_READY },
    { 1000, { 1, 1, 1, 1 }, BAL_LEAVING },
    /* The weaker one leaves first.  */
    { 1100, { 1, 1, 0, 2 }, BAL_READY },
    { 1200, { 1, 1, 1, 1 }, BAL_READY },
    { 2200, { 1, 1, 1, 1 }, BAL_LEAVING },
    /* Sent when this one announced.  */
    { 2500, { 1, 1, 1, 1 }, BAL_LEAVING },
    /* Not older than a second, but sent before.  */
    { 3400, { NONE, NONE, NONE, NONE }, BAL_LEAVING },
    { 3600, { NONE, NONE, NONE, NONE }, BAL_READY },
    { 3700, { 1, 1, 1, 1 }, BAL_READY },
    { 4700, { 1, 1, 1, 1 }, BAL_LEAVING },
    /* The stronger one will give way, but hasn't yet.  */
    { 5100, { 1, 1, 2, 0 }, BAL_LEAVING },
    { 5200, { 1, 1, 1, 0 }, BAL_OUT },
  };
  g_autoptr (bal_t) bal = bal_new ("m", 68);

  bal_set_zone (bal, others);
  for (unsigned i = 0; i < G_N_ELEMENTS (reports); i++)
    {
      cfd_time_t now = 1000000 + reports[i].at;

      for (unsigned k = 0; k < 4; k++)
        {
          bal_figures_t figures = { .share = k < 3 ? 500 : 40,
                                    .presence = reports[i].presences[k] };

          if (figures.presence != NONE)
            bal_set_figures (bal, now, others[k], &figures);
        }
      bal_update (bal, now, &busy);
      g_assert_cmpint (bal_get_figures (bal).presence, ==, reports[i].own);
    }
}

/* Guards against routers that all return when one neighbour dies, and against
   one that waits forever for the return of a router that is draining.  */
static void
test_return_order (void)
{
  for (unsigned draining = 0; draining < 2; draining++)
    {
      g_auto (zone_t) zone = { 0 };

      zone_init_wave (&zone);
      zone.routers[2].is_draining = draining != 0;
      zone.routers[6].is_silent = true;
      zone_run (&zone, 1300);
      g_assert_cmpuint (count_out (&zone), ==, 2);
      g_assert_false (bal_is_out (zone.routers[2].bal));
      zone_run (&zone, 700);
      g_assert_true (bal_is_out (zone.routers[0].bal));
      g_assert_cmpint (bal_is_out (zone.routers[1].bal), ==, draining == 0);
    }
}

/* Guards against routers that stay out of rotation while their neighbours are
   dead, whose figures expire after a second, or full, and against routers that
   change their minds with each datagram.  */
static void
test_neighbors_lost (void)
{
  for (unsigned full = 0; full < 2; full++)
    {
      g_auto (zone_t) zone = { 0 };

      zone_init_wave (&zone);
      for (unsigned i = 3; i < zone.count; i++)
        if (full != 0)
          zone.routers[i].demand = 2000.;
        else
          zone.routers[i].is_silent = true;
      zone_run (&zone, 1300);
      g_assert_cmpuint (count_out (&zone), ==, 0);
      g_assert_cmpint (bal_get_reason (zone.routers[0].bal), ==,
                       full != 0 ? BAL_FULL : BAL_FEW);
      set_demands (&zone, page_demands);
      zone_run (&zone, 500);
      g_assert_cmpuint (count_out (&zone), ==, 0);
    }
}

/* Guards against routers that leave with each summary of another cell and
   return when it has expired.  */
static void
test_rare_figures (void)
{
  g_auto (zone_t) zone = { 0 };

  zone_init (&zone, page_shares, G_N_ELEMENTS (page_shares));
  zone.interval = 15;
  set_demands (&zone, page_demands);
  for (unsigned i = 0; i < 50; i++)
    {
      zone_run (&zone, 200);
      g_assert_cmpuint (count_out (&zone), ==, 0);
    }
}

/* Guards against routers that are out of rotation longer than they have to,
   and against callers who send them out again and again.  */
static void
test_hold (void)
{
  g_auto (zone_t) zone = { 0 };
  bal_t *first;

  zone_init_wave (&zone);
  first = zone.routers[0].bal;
  g_assert_cmpint (bal_get_hold_ms (first), ==, 10000);
  set_demands (&zone, NULL);
  zone_run (&zone, 9000);
  g_assert_false (bal_is_out (first));
  for (unsigned i = 0; i < zone.count; i++)
    zone.routers[i].moved = 0.;
  set_demands (&zone, page_demands);
  zone_run (&zone, 2000);
  g_assert_true (bal_is_out (first));
  g_assert_cmpint (bal_get_hold_ms (first), ==, 20000);
  set_demands (&zone, NULL);
  zone_run (&zone, 40000);
  set_demands (&zone, page_demands);
  zone_run (&zone, 2000);
  g_assert_cmpint (bal_get_hold_ms (first), ==, 10000);
}

/* Guards against a router that takes longer to leave than stated, at both
   intervals of figures, and against connections that are closed before the
   platform has noticed that it left: they would come back to it.  */
static void
test_times (void)
{
  for (unsigned interval = 1; interval <= 3; interval += 2)
    {
      g_auto (zone_t) zone = { 0 };
      bal_t *first;
      cfd_time_t announced_at;

      zone_init (&zone, page_shares, G_N_ELEMENTS (page_shares));
      zone.interval = interval;
      first = zone.routers[0].bal;
      set_demands (&zone, page_demands);
      while (bal_get_figures (first).presence != BAL_LEAVING)
        zone_run (&zone, TICK_MS);
      announced_at = zone.now;
      while (!bal_is_out (first))
        zone_run (&zone, TICK_MS);
      g_assert_cmpint (zone.now - announced_at, >=, 400);
      g_assert_cmpint (zone.now - announced_at, <=, 600);
      zone_run (&zone, 2400);
      g_assert_false (bal_must_close (first, zone.now));
      zone_run (&zone, 200);
      g_assert_true (bal_must_close (first, zone.now));
    }
}

typedef struct
{
  const char *path;
  int max_delay;  /* exchanges */
  double loss;    /* at most */
  bool is_cut;    /* some exchanges don't cross a partition */
  int64_t max_ms; /* for which fewer than half may stay */
} bound_case_t;

/* ANNOUNCE_MS is 3 exchanges; 4 s are twice 1.5 s and a second.  */
static const bound_case_t bound_cases[] = {
  { "/bal/bound/in-time", 3, 0., false, 0 },
  { "/bal/bound/lost", 3, 0.95, false, 0 },
  { "/bal/bound/partition", 3, 0.7, true, 0 },
  { "/bal/bound/late", 15, 0., false, 4000 },
  { "/bal/bound/late-partition", 15, 0.7, true, 4000 },
};

static void
draw_network (zone_t *zone, const bound_case_t *test)
{
  bool is_split = test->is_cut && g_rand_boolean (zone->random);
  uint32_t sides = is_split ? g_rand_int (zone->random) : 0;

  zone->loss = g_rand_double (zone->random) * test->loss;
  for (unsigned i = 0; i < MAX_ROUTERS; i++)
    for (unsigned k = 0; k < MAX_ROUTERS; k++)
      zone->delays[i][k]
          = (sides >> i & 1) != (sides >> k & 1)
                ? -1
                : g_rand_int_range (zone->random, 0, test->max_delay + 1);
}

/* Some routers get too much to do, or nothing any more, or die.  */
static void
draw_demands (zone_t *zone)
{
  for (unsigned i = 0; i < zone->count; i++)
    {
      router_t *router = &zone->routers[i];
      bool is_weak = router->share < 200;

      if (g_rand_int_range (zone->random, 0, 30) > 0)
        continue;
      router->demand = router->share * 3.;
      if (is_weak == (g_rand_int_range (zone->random, 0, 5) == 0))
        router->demand = 0.;
      router->moved = 0.;
      router->is_silent = g_rand_int_range (zone->random, 0, 20) == 0;
    }
}

/* Guards against a zone of which so many leave that the platform sends callers
   to all of its routers again: half of them stay, whatever is lost, provided
   that figures are late by ANNOUNCE_MS at most.  If they are later, fewer stay
   for a bounded time.  */
static void
test_bound (gconstpointer data)
{
  static const unsigned kinds[] = { 0, 20, 20, 20, 20, 20, 68, 220, 500, 500 };
  const bound_case_t *test = data;
  GRand *random = g_rand_new_with_seed (29);
  unsigned half = 0;
  int64_t longest_ms = 0;

  for (unsigned round = 0; round < 200; round++)
    {
      unsigned shares[MAX_ROUTERS];
      unsigned count = (unsigned)g_rand_int_range (random, 1, MAX_ROUTERS + 1);
      int64_t few_ms = 0;
      g_auto (zone_t) zone = { 0 };

      for (unsigned i = 0; i < count; i++)
        shares[i] = kinds[g_rand_int_range (random, 0, G_N_ELEMENTS (kinds))];
      zone_init (&zone, shares, count);
      zone.random = random;
      for (unsigned step = 0; step < 600; step++)
        {
          unsigned in;

          if (step % 100 == 0)
            draw_network (&zone, test);
          draw_demands (&zone);
          zone_run (&zone, EXCHANGE_MS);
          in = count - count_out (&zone);
          half += in < count && in == (count + 1) / 2;
          few_ms = 2 * in < count ? few_ms + EXCHANGE_MS : 0;
          longest_ms = MAX (longest_ms, few_ms);
        }
    }
  g_test_message ("half=%u longest_ms=%" G_GINT64_FORMAT, half, longest_ms);
  g_assert_cmpint (longest_ms, <=, test->max_ms);
  g_assert_cmpint (longest_ms > 0, ==, test->max_ms > 0);
  g_assert_cmpuint (half, >, 1000);
  g_rand_free (random);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (replay_cases); i++)
    g_test_add_data_func (replay_cases[i].path, &replay_cases[i], test_replay);
  g_test_add_func ("/bal/any-names", test_any_names);
  g_test_add_func ("/bal/announcement", test_announcement);
  g_test_add_func ("/bal/return-order", test_return_order);
  g_test_add_func ("/bal/neighbors-lost", test_neighbors_lost);
  g_test_add_func ("/bal/rare-figures", test_rare_figures);
  g_test_add_func ("/bal/hold", test_hold);
  g_test_add_func ("/bal/times", test_times);
  for (unsigned i = 0; i < G_N_ELEMENTS (bound_cases); i++)
    g_test_add_data_func (bound_cases[i].path, &bound_cases[i], test_bound);
  return g_test_run ();
}
