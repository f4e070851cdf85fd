/* Tests of load balance: a simulated zone whose routers exchange their figures
   late, lossily or not at all, and the platform's readiness checks.  */

#include "relay/bal.h"

#include <string.h>

#define TICK_MS 25
#define EXCHANGE_MS 100
#define CHECK_MS 1000
#define MAX_ROUTERS 9
/* Exchanges that are kept, as delays may reach 1.5 s.  */
#define KEPT 16
/* Connections that a router closes in a second.  */
#define CLOSES_PER_S 40.
#define CONNECTIONS 265.

typedef struct
{
  char name[16];
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
  unsigned min_in_rotation;
  /* Number of exchanges by which figures are late on their way between two
     routers; -1: they are lost.  NULL: they are never late.  */
  int (*get_delay) (void *user, unsigned from, unsigned to);
  void *user;
} zone_t;

static void
zone_init (zone_t *zone, const unsigned *shares, unsigned count)
{
  *zone = (zone_t){ .count = count, .now = 1000000, .min_in_rotation = count };
  for (unsigned i = 0; i < count; i++)
    g_snprintf (zone->routers[i].name, sizeof zone->routers[i].name,
                "front-%u", i);
  for (unsigned i = 0; i < count; i++)
    {
      router_t *router = &zone->routers[i];
      const char *names[MAX_ROUTERS] = { NULL };

      for (unsigned k = 0; k + 1 < count; k++)
        names[k] = zone->routers[k + (k >= i)].name;
      router->share = shares[i];
      router->bal = bal_new (router->name, shares[i]);
      bal_set_zone (router->bal, names);
    }
}

static void
zone_clear (zone_t *zone)
{
  for (unsigned i = 0; i < zone->count; i++)
    bal_free (zone->routers[i].bal);
}

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
        int delay = zone->get_delay != NULL
                        ? zone->get_delay (zone->user, from, to)
                        : 0;

        if (delay >= 0 && !router->is_silent)
          bal_set_figures (zone->routers[to].bal, zone->now, router->name,
                           &router->sent[(slot - (unsigned)delay) % KEPT]);
      }
}

/* Asks the routers whether they are ready; two negative answers take one out
   of rotation.  */
static void
check_readiness (zone_t *zone)
{
  unsigned in_rotation = 0;

  for (unsigned i = 0; i < zone->count; i++)
    {
      router_t *router = &zone->routers[i];

      router->negatives = bal_is_out (router->bal) ? router->negatives + 1 : 0;
      in_rotation += router->negatives < 2;
    }
  zone->min_in_rotation = MIN (zone->min_in_rotation, in_rotation);
}

/* Returns the demand of the callers that are not at their own router.  */
static double
sum_moved (const zone_t *zone)
{
  double sum = 0.;

  for (unsigned i = 0; i < zone->count; i++)
    sum += zone->routers[i].demand * zone->routers[i].moved;
  return sum;
}

static void
tick_router (zone_t *zone, router_t *router, double moved)
{
  double demand = router->demand * (1. - router->moved);
  double share = MAX (router->share, 1);
  double busy;
  bal_sample_t sample;

  if (router->negatives < 2)
    demand += moved;
  busy = MIN (demand / share, 1.);
  sample = (bal_sample_t){ .busy_ms = busy * TICK_MS,
                           .idle_ms = (1. - busy) * TICK_MS,
                           .is_ready = !router->is_draining };
  zone->served += busy * share * TICK_MS;
  bal_update (router->bal, zone->now, &sample);
  if (bal_must_close (router->bal, zone->now) && router->negatives >= 2)
    router->moved = MIN (
        router->moved + CLOSES_PER_S / CONNECTIONS * TICK_MS / 1000., 1.);
}

static void
zone_run (zone_t *zone, int64_t ms)
{
  for (cfd_time_t end = zone->now + ms; zone->now < end;)
    {
      double moved = sum_moved (zone);
      unsigned in_rotation = 0;

      zone->now += TICK_MS;
      if (zone->now % EXCHANGE_MS == 0)
        exchange (zone);
      if (zone->now % CHECK_MS == 0)
        check_readiness (zone);
      for (unsigned i = 0; i < zone->count; i++)
        in_rotation += zone->routers[i].negatives < 2;
      for (unsigned i = 0; i < zone->count; i++)
        tick_router (zone, &zone->routers[i], moved / MAX (in_rotation, 1));
    }
}

static void
set_demands (zone_t *zone, const unsigned *demands)
{
  for (unsigned i = 0; i < zone->count; i++)
    zone->routers[i].demand = demands[i];
}

typedef struct
{
  const char *name;
  unsigned count;
  unsigned shares[MAX_ROUTERS];
  unsigned demands[MAX_ROUTERS]; /* millicores, for WAVE_MS */
  unsigned out;                  /* routers that leave */
  double min_gain;               /* work done, by that without balance */
} replay_case_t;

#define WAVE_MS 20000

static const replay_case_t replay_cases[] = {
  /* Callers of the weakest are served late while others of the zone idle.  */
  { "page",
    7,
    { 68, 68, 68, 500, 500, 500, 500 },
    { 204, 204, 204, 40, 40, 40, 40 },
    3,
    1.3 },
  /* Idle routers leave, or the highest of the weak ones can't.  */
  { "one",
    7,
    { 68, 68, 68, 220, 220, 500, 500 },
    { 4, 4, 204, 30, 30, 40, 40 },
    1,
    1.3 },
  /* Callers are moved to routers that have no time either.  */
  { "all-full",
    7,
    { 68, 68, 68, 220, 220, 500, 500 },
    { 204, 10, 10, 180, 180, 420, 420 },
    0,
    1. },
  /* The zone's only router leaves.  */
  { "single", 1, { 68 }, { 204 }, 0, 1. },
  /* In a small zone the platform uses all routers, as too many have left.  */
  { "three", 3, { 68, 500, 500 }, { 204, 10, 10 }, 1, 1.3 },
  /* Deployments with equal routers are no longer served as before.  */
  { "equal",
    7,
    { 90, 90, 90, 90, 90, 90, 90 },
    { 270, 270, 10, 10, 10, 10, 10 },
    0,
    1. },
  { "nearly-equal",
    7,
    { 90, 90, 170, 170, 170, 170, 170 },
    { 270, 270, 10, 10, 10, 10, 10 },
    0,
    1. },
  /* A router whose share isn't known leaves, or counts as a strong one.  */
  { "unknown",
    7,
    { 0, 0, 0, 68, 220, 500, 500 },
    { 204, 204, 204, 204, 30, 40, 40 },
    0,
    1. },
  /* Routers are out of rotation without need.  */
  { "steady",
    7,
    { 68, 68, 68, 220, 220, 500, 500 },
    { 30, 30, 30, 80, 80, 200, 200 },
    0,
    1. },
};

static double
sum_without_balance (const replay_case_t *test)
{
  double sum = 0.;

  for (unsigned i = 0; i < test->count; i++)
    sum += MIN (test->demands[i], MAX (test->shares[i], 1)) * (double)WAVE_MS;
  return sum;
}

/* Guards against the failure that its row names.  */
static void
test_replay (gconstpointer data)
{
  const replay_case_t *test = data;
  unsigned idle[MAX_ROUTERS] = { 0 };
  zone_t zone;
  unsigned most_out = 0;

  zone_init (&zone, test->shares, test->count);
  zone_run (&zone, 2000);
  zone.served = 0.;
  set_demands (&zone, test->demands);
  for (unsigned i = 0; i < WAVE_MS / EXCHANGE_MS; i++)
    {
      zone_run (&zone, EXCHANGE_MS);
      most_out = MAX (most_out, count_out (&zone));
    }
  g_test_message ("gain=%.3f", zone.served / sum_without_balance (test));
  g_assert_cmpuint (most_out, ==, test->out);
  g_assert_cmpuint (zone.min_in_rotation, ==, test->count - test->out);
  g_assert_cmpfloat (zone.served, >=,
                     test->min_gain * sum_without_balance (test) * 0.999);
  /* After the wave no router stays out.  */
  set_demands (&zone, idle);
  zone_run (&zone, 21000);
  g_assert_cmpuint (count_out (&zone), ==, 0);
  zone_clear (&zone);
}

static const unsigned page_shares[] = { 68, 68, 68, 500, 500, 500, 500 };
static const unsigned page_demands[] = { 204, 204, 204, 40, 40, 40, 40 };

static void
zone_init_page (zone_t *zone)
{
  zone_init (zone, page_shares, G_N_ELEMENTS (page_shares));
  zone_run (zone, 2000);
}

/* Brings the page's zone to the state in which three routers are out.  */
static void
zone_init_wave (zone_t *zone)
{
  zone_init_page (zone);
  set_demands (zone, page_demands);
  zone_run (zone, 4000);
  g_assert_cmpuint (count_out (zone), ==, 3);
}

/* Guards against overloaded routers that may not leave because of their names
   or of the order in which they are overloaded, at all places of three weak
   routers among seven.  */
static void
test_any_names (void)
{
  for (unsigned set = 0; set < 1u << 7; set++)
    for (int64_t pause_ms = 0; pause_ms <= 3000; pause_ms += 1500)
      {
        unsigned shares[7];
        zone_t zone;

        if (__builtin_popcount (set) != 3)
          continue;
        for (unsigned i = 0; i < 7; i++)
          shares[i] = (set >> i & 1) != 0 ? 68 : 500;
        zone_init (&zone, shares, 7);
        zone_run (&zone, 2000);
        for (unsigned i = 0; i < 7; i++)
          if ((set >> i & 1) != 0)
            {
              zone.routers[i].demand = 204.;
              zone_run (&zone, pause_ms);
            }
        zone_run (&zone, 1500);
        for (unsigned i = 0; i < 7; i++)
          g_assert_cmpint (bal_is_out (zone.routers[i].bal), ==, set >> i & 1);
        zone_clear (&zone);
      }
}

/* Guards against routers that leave on the same evidence, or all wait for one
   another: of three that are overloaded at the same moment the highest-ranked
   one gives way, as one more may not leave.  */
static void
test_same_moment (void)
{
  static const unsigned shares[] = { 68, 68, 68, 500, 500 };
  zone_t zone;

  zone_init (&zone, shares, 5);
  zone_run (&zone, 2000);
  set_demands (&zone, (const unsigned[MAX_ROUTERS]){ 204, 204, 204, 9, 9 });
  for (unsigned i = 0; i < 50; i++)
    {
      zone_run (&zone, EXCHANGE_MS);
      g_assert_cmpuint (count_out (&zone), <=, 2);
    }
  g_assert_true (bal_is_out (zone.routers[0].bal));
  g_assert_true (bal_is_out (zone.routers[1].bal));
  zone_clear (&zone);
}

/* Reports of four neighbours of share 500 or, of the last, 40, and the state
   of a busy router of share 68 after them.  */
typedef struct
{
  cfd_time_t at;
  bal_presence_t presences[4];
  bal_presence_t own;
} report_t;

/* Guards against a router that leaves on figures that may have been sent
   before its announcement, keeps an announcement that has lost its reason, or
   counts one that may leave too.  */
static void
test_announcement (void)
{
  static const char *const names[] = { "a", "b", "c", "weak", NULL };
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
    /* The stronger one will give way, but hasn't yet.  */
    { 2600, { 1, 1, 2, 0 }, BAL_LEAVING },
    { 2700, { 1, 1, 1, 0 }, BAL_OUT },
  };
  g_autoptr (bal_t) bal = bal_new ("m", 68);

  bal_set_zone (bal, names);
  for (unsigned i = 0; i < G_N_ELEMENTS (reports); i++)
    {
      cfd_time_t now = 1000000 + reports[i].at;

      for (unsigned k = 0; k < 4; k++)
        {
          bal_figures_t figures = { .share = k < 3 ? 500 : 40,
                                    .presence = reports[i].presences[k] };

          bal_set_figures (bal, now, names[k], &figures);
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
      zone_t zone;

      zone_init_wave (&zone);
      zone.routers[2].is_draining = draining != 0;
      zone.routers[6].is_silent = true;
      zone_run (&zone, 1300);
      g_assert_cmpuint (count_out (&zone), ==, 2);
      g_assert_false (bal_is_out (zone.routers[2].bal));
      zone_run (&zone, 700);
      g_assert_true (bal_is_out (zone.routers[0].bal));
      g_assert_cmpint (bal_is_out (zone.routers[1].bal), ==, draining == 0);
      zone_clear (&zone);
    }
}

/* Guards against routers that stay out of rotation while their neighbours are
   dead: the figures of these expire after a second.  */
static void
test_neighbors_die (void)
{
  zone_t zone;

  zone_init_wave (&zone);
  for (unsigned i = 3; i < zone.count; i++)
    zone.routers[i].is_silent = true;
  zone_run (&zone, 1300);
  g_assert_cmpuint (count_out (&zone), ==, 0);
  g_assert_cmpint (bal_get_reason (zone.routers[0].bal), ==, BAL_FEW);
  zone_clear (&zone);
}

/* The same while the neighbours are full.  They don't change their minds with
   each datagram.  */
static void
test_neighbors_full (void)
{
  zone_t zone;

  zone_init_wave (&zone);
  for (unsigned i = 3; i < zone.count; i++)
    zone.routers[i].demand = 2000.;
  zone_run (&zone, 1500);
  g_assert_cmpuint (count_out (&zone), ==, 0);
  g_assert_cmpint (bal_get_reason (zone.routers[0].bal), ==, BAL_FULL);
  set_demands (&zone, page_demands);
  zone_run (&zone, 500);
  g_assert_cmpuint (count_out (&zone), ==, 0);
  zone_clear (&zone);
}

/* Guards against routers that leave by figures that are no longer true.  */
static void
test_stale_figures (void)
{
  zone_t zone;

  zone_init_page (&zone);
  for (unsigned i = 0; i < zone.count; i++)
    zone.routers[i].is_silent = true;
  zone_run (&zone, 1000);
  set_demands (&zone, page_demands);
  zone_run (&zone, 2000);
  g_assert_cmpuint (count_out (&zone), ==, 0);
  zone_clear (&zone);
}

/* Returns a delay of figures that come every 1.5 s.  */
static int
get_rare_delay (void *user, unsigned from, unsigned to)
{
  const zone_t *zone = user;

  return zone->now / EXCHANGE_MS % 15 == 0 ? 0 : -1;
}

/* Guards against routers that leave with each summary of another cell and
   return when it has expired.  */
static void
test_rare_figures (void)
{
  zone_t zone;

  zone_init_page (&zone);
  zone.get_delay = get_rare_delay;
  zone.user = &zone;
  set_demands (&zone, page_demands);
  for (unsigned i = 0; i < 50; i++)
    {
      zone_run (&zone, 200);
      g_assert_cmpuint (count_out (&zone), ==, 0);
    }
  zone_clear (&zone);
}

/* Guards against routers that are out of rotation longer than they have to,
   and against callers who send them out again and again.  */
static void
test_hold (void)
{
  static const unsigned idle[MAX_ROUTERS] = { 0 };
  zone_t zone;
  bal_t *first;

  zone_init_wave (&zone);
  first = zone.routers[0].bal;
  g_assert_cmpint (bal_get_hold_ms (first), ==, 10000);
  set_demands (&zone, idle);
  zone_run (&zone, 9000);
  g_assert_false (bal_is_out (first));
  for (unsigned i = 0; i < zone.count; i++)
    zone.routers[i].moved = 0.;
  set_demands (&zone, page_demands);
  zone_run (&zone, 2000);
  g_assert_true (bal_is_out (first));
  g_assert_cmpint (bal_get_hold_ms (first), ==, 20000);
  set_demands (&zone, idle);
  zone_run (&zone, 40000);
  set_demands (&zone, page_demands);
  zone_run (&zone, 2000);
  g_assert_cmpint (bal_get_hold_ms (first), ==, 10000);
  zone_clear (&zone);
}

/* Guards against connections that are closed before the platform has noticed
   that the router left: they would come back to it.  */
static void
test_notice (void)
{
  zone_t zone;

  zone_init_page (&zone);
  set_demands (&zone, page_demands);
  while (!bal_is_out (zone.routers[0].bal))
    zone_run (&zone, TICK_MS);
  zone_run (&zone, 2400);
  g_assert_false (bal_must_close (zone.routers[0].bal, zone.now));
  zone_run (&zone, 200);
  g_assert_true (bal_must_close (zone.routers[0].bal, zone.now));
  zone_clear (&zone);
}

typedef struct
{
  const char *name;
  int max_delay;  /* exchanges */
  double loss;    /* at most */
  bool is_cut;    /* some exchanges don't cross a partition */
  int64_t max_ms; /* for which fewer than half may stay */
} bound_case_t;

/* ANNOUNCE_MS is 3 exchanges.  */
static const bound_case_t bound_cases[] = {
  { "in-time", 3, 0., false, 0 },
  { "lost", 3, 0.95, false, 0 },
  { "partition", 3, 0.5, true, 0 },
  { "late", 15, 0., false, 2500 },
  { "late-partition", 15, 0.7, true, 2500 },
};

typedef struct
{
  const bound_case_t *test;
  GRand *random;
  int delays[MAX_ROUTERS][MAX_ROUTERS];
  unsigned sides[MAX_ROUTERS]; /* of a partition */
  double loss;
} network_t;

static int
get_random_delay (void *user, unsigned from, unsigned to)
{
  const network_t *network = user;

  if (network->sides[from] != network->sides[to]
      || g_rand_double (network->random) < network->loss)
    return -1;
  return network->delays[from][to];
}

static void
draw_network (network_t *network)
{
  GRand *random = network->random;
  bool is_split = network->test->is_cut && g_rand_boolean (random);

  network->loss = g_rand_double (random) * network->test->loss;
  for (unsigned i = 0; i < MAX_ROUTERS; i++)
    {
      network->sides[i]
          = is_split ? (unsigned)g_rand_int_range (random, 0, 2) : 0;
      for (unsigned k = 0; k < MAX_ROUTERS; k++)
        network->delays[i][k]
            = g_rand_int_range (random, 0, network->test->max_delay + 1);
    }
}

/* Some routers get too much to do, or nothing any more, or die.  */
static void
draw_demands (zone_t *zone, GRand *random)
{
  for (unsigned i = 0; i < zone->count; i++)
    {
      router_t *router = &zone->routers[i];
      bool is_weak = router->share < 200;
      bool is_busy;

      if (g_rand_int_range (random, 0, 30) > 0)
        continue;
      is_busy = (g_rand_int_range (random, 0, 5) > 0) == is_weak;
      router->demand = is_busy ? router->share * 3. : 0.;
      router->moved = 0.;
      router->is_silent = g_rand_int_range (random, 0, 20) == 0;
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
  network_t network = { .test = test, .random = g_rand_new_with_seed (29) };
  unsigned half = 0;
  int64_t longest_ms = 0;

  for (unsigned round = 0; round < 200; round++)
    {
      unsigned shares[MAX_ROUTERS];
      unsigned count
          = (unsigned)g_rand_int_range (network.random, 1, MAX_ROUTERS + 1);
      int64_t few_ms = 0;
      zone_t zone;

      for (unsigned i = 0; i < count; i++)
        shares[i] = kinds[g_rand_int_range (network.random, 0,
                                            G_N_ELEMENTS (kinds))];
      zone_init (&zone, shares, count);
      zone.get_delay = get_random_delay;
      zone.user = &network;
      for (unsigned step = 0; step < 600; step++)
        {
          unsigned in;

          if (step % 100 == 0)
            draw_network (&network);
          draw_demands (&zone, network.random);
          zone_run (&zone, EXCHANGE_MS);
          in = count - count_out (&zone);
          half += in < count && in == (count + 1) / 2;
          few_ms = 2 * in < count ? few_ms + EXCHANGE_MS : 0;
          longest_ms = MAX (longest_ms, few_ms);
        }
      zone_clear (&zone);
    }
  g_test_message ("half=%u longest_ms=%" G_GINT64_FORMAT, half, longest_ms);
  g_assert_cmpint (longest_ms, <=, test->max_ms);
  g_assert_cmpint (longest_ms > 0, ==, test->max_ms > 0);
  g_assert_cmpuint (half, >, 1000);
  g_rand_free (network.random);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (replay_cases); i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/bal/replay/%s", replay_cases[i].name);

      g_test_add_data_func (path, &replay_cases[i], test_replay);
    }
  g_test_add_func ("/bal/any-names", test_any_names);
  g_test_add_func ("/bal/same-moment", test_same_moment);
  g_test_add_func ("/bal/announcement", test_announcement);
  g_test_add_func ("/bal/return-order", test_return_order);
  g_test_add_func ("/bal/neighbors-die", test_neighbors_die);
  g_test_add_func ("/bal/neighbors-full", test_neighbors_full);
  g_test_add_func ("/bal/stale-figures", test_stale_figures);
  g_test_add_func ("/bal/rare-figures", test_rare_figures);
  g_test_add_func ("/bal/hold", test_hold);
  g_test_add_func ("/bal/closed-too-early", test_notice);
  for (unsigned i = 0; i < G_N_ELEMENTS (bound_cases); i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/bal/bound/%s", bound_cases[i].name);

      g_test_add_data_func (path, &bound_cases[i], test_bound);
    }
  return g_test_run ();
}
