/* Tests of the limit of prefill work: its budgets, and a simulation of several
   routers that send prompts to one endpoint and learn late of each other.  */

#include "relay/pau.h"

#include <glib.h>
#include <math.h>

#define NOW 1000000
#define MAX_ROUTERS 29
#define MAX_PENDING 4096
#define RUN_MS 3000
/* Tokens that the endpoint prefills in a millisecond.  */
#define RATE 101.
#define MAX_PAUSE_MS 400
#define EVENT_MS 27.
/* Prefill work of the prompts, which are sent in turn.  The long one has
   12,000 tokens.  */
#define SHORT_WORK 840.
#define MEDIUM_WORK 2480.
#define LONG_WORK 14880.
/* Longest time without a prompt of each kind.  */
#define MAX_WAIT_MS 1000
#define EPSILON 1e-6
/* Time constant of finished work, as a share of the window.  */
#define DECAY_SHARE 0.6

typedef enum
{
  BACKLOG, /* each router always has prompts that wait */
  PACED    /* prompts come at intervals, and go elsewhere if not admitted */
} demand_t;

typedef struct
{
  const char *name;
  demand_t demand;
  unsigned routers;
  int64_t delay_ms; /* interval at which they learn each other's figures */
  unsigned parts;   /* of a partition: each router sees only its own part */
  double share;     /* see pau_prompt_t */
} case_t;

/* What one router knows and does.  */
typedef struct
{
  double pending;           /* its own prefill work at the endpoint */
  double published;         /* pending, as the others know it */
  double seen[MAX_ROUTERS]; /* pending of the others */
  pau_recent_t recent;      /* of all */
  unsigned prompts;         /* drawn so far */
  cfd_time_t next_at;       /* of a paced prompt */
} router_t;

typedef struct
{
  unsigned router;
  double work;
  double left;
} prompt_t;

typedef struct
{
  const case_t *one;
  double window_ms;
  double budget;
  router_t routers[MAX_ROUTERS];
  prompt_t queue[MAX_PENDING]; /* at the endpoint, in order of arrival */
  guint head;
  guint tail;
  double sent[RUN_MS]; /* work sent in each millisecond */
  double max_pending;
  unsigned long_prompts; /* sent */
} fleet_t;

static pau_service_t
make_service (void)
{
  return (pau_service_t){ .window_ms = pau_compute_window_ms (MAX_PAUSE_MS),
                          .event_ms = EVENT_MS,
                          .ms_per_token = 1. / RATE };
}

static bool
is_visible (const fleet_t *fleet, unsigned from, unsigned to)
{
  return from != to && from % fleet->one->parts == to % fleet->one->parts;
}

/* Lets all routers learn the figures of the others, as pal.c does: what is no
   longer pending counts as finished.  */
static void
exchange (fleet_t *fleet, cfd_time_t now)
{
  for (unsigned i = 0; i < fleet->one->routers; i++)
    fleet->routers[i].published = fleet->routers[i].pending;
  for (unsigned i = 0; i < fleet->one->routers; i++)
    for (unsigned j = 0; j < fleet->one->routers; j++)
      {
        router_t *router = &fleet->routers[i];
        double is = fleet->routers[j].published;

        if (!is_visible (fleet, j, i))
          continue;
        if (router->seen[j] > is)
          pau_add_finished (&router->recent, now, fleet->window_ms,
                            router->seen[j] - is);
        router->seen[j] = is;
      }
}

static double
get_next_work (const router_t *router)
{
  static const double works[] = { SHORT_WORK, LONG_WORK, MEDIUM_WORK };

  return works[router->prompts % G_N_ELEMENTS (works)];
}

/* Sends the next prompt of ROUTER, number I, if it is admitted.  */
static bool
try_prompt (fleet_t *fleet, unsigned i, cfd_time_t now)
{
  router_t *router = &fleet->routers[i];
  pau_endpoint_t endpoint
      = { .level = router->pending
                   + pau_get_recent (&router->recent, now, fleet->window_ms),
          .budget = fleet->budget };
  pau_prompt_t prompt = { .own = get_next_work (router),
                          .share = fleet->one->share,
                          .max_budget = fleet->budget };

  for (unsigned j = 0; j < fleet->one->routers; j++)
    endpoint.level += router->seen[j];
  if (!pau_admits (&endpoint, &prompt))
    return false;
  g_assert_cmpuint (fleet->tail - fleet->head, <, MAX_PENDING);
  fleet->queue[fleet->tail++ % MAX_PENDING]
      = (prompt_t){ .router = i, .work = prompt.own, .left = prompt.own };
  router->pending += prompt.own;
  fleet->sent[now - NOW] += prompt.own;
  fleet->long_prompts += prompt.own == LONG_WORK;
  router->prompts++;
  return true;
}

/* Interval of a router's prompts at which all together send 1.5 times what the
   endpoint can prefill.  */
static int64_t
get_pace_ms (const fleet_t *fleet)
{
  return (int64_t)((SHORT_WORK + LONG_WORK + MEDIUM_WORK) / 3.
                   * fleet->one->routers / (RATE * 1.5));
}

static void
send_prompts (fleet_t *fleet, unsigned i, cfd_time_t now)
{
  router_t *router = &fleet->routers[i];

  switch (fleet->one->demand)
    {
    case BACKLOG:
      while (try_prompt (fleet, i, now))
        continue;
      break;
    case PACED:
      if (now < router->next_at)
        return;
      router->next_at += get_pace_ms (fleet);
      if (!try_prompt (fleet, i, now))
        router->prompts++;
      break;
    }
}

/* Lets the endpoint prefill for a millisecond, in order of arrival.  */
static void
prefill (fleet_t *fleet, cfd_time_t now)
{
  double left = RATE;

  while (left > 0. && fleet->head != fleet->tail)
    {
      prompt_t *prompt = &fleet->queue[fleet->head % MAX_PENDING];
      router_t *router = &fleet->routers[prompt->router];
      double done = MIN (left, prompt->left);

      left -= done;
      prompt->left -= done;
      if (prompt->left > EPSILON)
        return;
      pau_add_finished (&router->recent, now, fleet->window_ms, prompt->work);
      router->pending = MAX (router->pending - prompt->work, 0.);
      fleet->head++;
    }
}

static double
get_pending (const fleet_t *fleet)
{
  double pending = 0.;

  for (unsigned i = 0; i < fleet->one->routers; i++)
    pending += fleet->routers[i].pending;
  return pending;
}

/* Returns the most work that was sent within any window.  */
static double
get_max_sent (const fleet_t *fleet)
{
  int window_ms = (int)fleet->window_ms;
  double sum = 0.;
  double max = 0.;

  for (int ms = 0; ms < RUN_MS; ms++)
    {
      sum += fleet->sent[ms];
      if (ms >= window_ms)
        sum -= fleet->sent[ms - window_ms];
      max = MAX (max, sum);
    }
  return max;
}

/* Returns the level up to which a router admits prompts: the budget, or twice
   the budget for underserved accounts and for prompts that exceed it.  */
static double
get_max_level (const fleet_t *fleet)
{
  return LONG_WORK > fleet->budget || fleet->one->share > 1.
             ? fleet->budget * 2.
             : fleet->budget;
}

/* Returns the bound of pau.h on the work that is pending at one moment.  */
static double
bound_pending (const fleet_t *fleet)
{
  const case_t *one = fleet->one;
  double level = get_max_level (fleet);
  double unseen = level;
  int64_t arrivals = one->delay_ms / get_pace_ms (fleet) + 1;

  if (one->demand == PACED)
    unseen = MIN (unseen, LONG_WORK * (double)arrivals);
  return one->parts * level + (one->routers - one->parts) * unseen;
}

static void
run (fleet_t *fleet)
{
  for (cfd_time_t now = NOW; now < NOW + RUN_MS; now++)
    {
      if ((now - NOW) % fleet->one->delay_ms == 0)
        exchange (fleet, now);
      /* In turn, so that none is always the first.  */
      for (unsigned n = 0; n < fleet->one->routers; n++)
        send_prompts (
            fleet, (unsigned)((n + (guint64)now) % fleet->one->routers), now);
      fleet->max_pending = MAX (fleet->max_pending, get_pending (fleet));
      prefill (fleet, now);
    }
}

static fleet_t *
fleet_new (const case_t *one)
{
  pau_service_t service = make_service ();
  fleet_t *fleet = g_new0 (fleet_t, 1);

  fleet->one = one;
  fleet->window_ms = service.window_ms;
  fleet->budget = pau_compute_budget (&service, 1.);
  for (unsigned i = 0; i < one->routers; i++)
    fleet->routers[i].next_at = NOW + get_pace_ms (fleet) * i / one->routers;
  return fleet;
}

/* Guards against an endpoint that gets more prefill work than pau.h says,
   because its routers learn late of each other or not at all, and against a
   limit that keeps long prompts waiting for ever.  */
static void
test_fleet (gconstpointer data)
{
  g_autofree fleet_t *fleet = fleet_new (data);
  double pending = bound_pending (fleet);
  double level = get_max_level (fleet);
  double by_decay = fleet->one->routers * level * (1. + 1. / DECAY_SHARE);
  double by_rate = pending + RATE * fleet->window_ms;
  double sent;

  run (fleet);
  sent = get_max_sent (fleet);
  g_test_message ("budgets: pending %.2f of %.2f, sent in a window %.2f of "
                  "%.2f, long prompts %u",
                  fleet->max_pending / fleet->budget, pending / fleet->budget,
                  sent / fleet->budget,
                  MIN (by_decay, by_rate) / fleet->budget,
                  fleet->long_prompts);
  g_assert_cmpfloat (fleet->max_pending, <=, pending + EPSILON);
  g_assert_cmpfloat (sent, <=, by_decay + EPSILON);
  g_assert_cmpfloat (sent, <=, by_rate + EPSILON);
  g_assert_cmpuint (fleet->long_prompts, >=, RUN_MS / MAX_WAIT_MS);
}

/* Guards against a level that leaves out the work of the other routers: 29
   routers that see each other keep much less work pending than 29 that
   don't.  */
static void
test_others_count (void)
{
  static const case_t seeing = { "", PACED, 29, 5, 1, 1. };
  static const case_t blind = { "", PACED, 29, 5, 29, 1. };
  g_autofree fleet_t *one = fleet_new (&seeing);
  g_autofree fleet_t *other = fleet_new (&blind);

  run (one);
  run (other);
  g_assert_cmpfloat (other->max_pending, >, 4. * one->max_pending);
}

/* Prefill work, finished at NOW, counts less and less.  A clock that stands
   still or a service without a limit must not add up work for ever.  */
static void
test_recent (void)
{
  pau_recent_t recent = { 0 };

  g_assert_cmpfloat (pau_get_recent (&recent, NOW, 320.), ==, 0.);
  pau_add_finished (&recent, NOW, 320., 1000.);
  pau_add_finished (&recent, NOW, 320., 500.);
  g_assert_cmpfloat_with_epsilon (pau_get_recent (&recent, NOW, 320.), 1500.,
                                  EPSILON);
  /* The time constant that the bounds of pau.h are computed with.  */
  g_assert_cmpfloat_with_epsilon (pau_get_recent (&recent, NOW + 192, 320.),
                                  1500. * exp (-192. / (320. * DECAY_SHARE)),
                                  EPSILON);
  g_assert_cmpfloat (pau_get_recent (&recent, NOW + 320, 320.), <, 300.);
  g_assert_cmpfloat (pau_get_recent (&recent, NOW + 5000, 320.), <, 1.);
  g_assert_cmpfloat (pau_get_recent (&recent, NOW, 0.), ==, 0.);
  pau_add_finished (&recent, NOW, 0., 700.);
  pau_add_finished (&recent, NOW, 0., 700.);
  g_assert_cmpfloat (pau_get_recent (&recent, NOW, 320.), <=, 700.);
}

/* Guards against a limit where routes set no pause or nothing is known of the
   prefill rate, and against a negative budget where an event alone takes as
   long as the pause.  */
static void
test_budget (void)
{
  pau_service_t service = make_service ();
  double average = pau_compute_budget (&service, 1.);

  g_assert_cmpfloat_with_epsilon (average, (320. - EVENT_MS) * RATE, EPSILON);
  g_assert_cmpfloat (pau_compute_budget (&service, 2.), <, average / 2.);
  g_assert_cmpfloat (pau_compute_budget (&service, 0.5), >, average * 2.);
  service.event_ms = 400.;
  g_assert_cmpfloat (pau_compute_budget (&service, 1.), ==, 0.);
  service.ms_per_token = 0.;
  g_assert_true (pau_compute_budget (&service, 1.) == HUGE_VAL);
  service = make_service ();
  service.window_ms = pau_compute_window_ms (0);
  g_assert_true (pau_compute_budget (&service, 1.) == HUGE_VAL);
  g_assert_cmpfloat (pau_compute_window_ms (-5), ==, 0.);
}

/* An account above the fair level gets a part of the budget, at least two
   fifths; an underserved one gets more than others.  */
static void
test_share (void)
{
  g_assert_cmpfloat (pau_compute_share (1., false), ==, 1.);
  g_assert_cmpfloat (pau_compute_share (0.5, false), <, 1.);
  g_assert_cmpfloat_with_epsilon (pau_compute_share (0., false), 0.4, EPSILON);
  g_assert_cmpfloat_with_epsilon (pau_compute_share (-3., false), 0.4,
                                  EPSILON);
  g_assert_cmpfloat (pau_compute_share (7., false), ==, 1.);
  g_assert_cmpfloat (pau_compute_share (0., true), >, 1.);
}

typedef struct
{
  const char *name;
  pau_endpoint_t endpoint;
  pau_prompt_t prompt;
  bool admitted;
} admission_t;

static const admission_t admissions[] = {
  { "fits", { 600., 1000. }, { 400., 1., 1000. }, true },
  { "too-much", { 601., 1000. }, { 400., 1., 1000. }, false },
  { "no-limit", { 1e9, HUGE_VAL }, { 1e9, 0.4, HUGE_VAL }, true },
  /* Leaves room for the other accounts.  */
  { "above-the-level", { 150., 1000. }, { 300., 0.4, 1000. }, false },
  { "above-the-level-fits", { 100., 1000. }, { 300., 0.4, 1000. }, true },
  { "above-the-level-long", { 100., 1000. }, { 500., 0.4, 1000. }, true },
  { "above-the-level-long-waits",
    { 101., 1000. },
    { 500., 0.4, 1000. },
    false },
  { "underserved", { 1600., 1000. }, { 400., 2., 1000. }, true },
  { "underserved-too-much", { 1601., 1000. }, { 400., 2., 1000. }, false },
  /* Exceeds the budget of this endpoint.  */
  { "long", { 500., 1000. }, { 1500., 1., 2000. }, true },
  { "long-waits", { 501., 1000. }, { 1500., 1., 2000. }, false },
  /* No endpoint could ever hold it: goes to a fast one that is half idle.
   */
  { "outsized", { 500., 1000. }, { 9000., 1., 1000. }, true },
  { "outsized-waits", { 501., 1000. }, { 9000., 1., 1000. }, false },
  { "long-not-outsized", { 500., 1000. }, { 1900., 1., 1000. }, true },
  { "outsized-not-at-slow", { 0., 799. }, { 9000., 1., 1000. }, false },
  { "outsized-above-the-level", { 100., 1000. }, { 9000., 0.4, 1000. }, true },
  { "outsized-above-the-level-waits",
    { 101., 1000. },
    { 9000., 0.4, 1000. },
    false },
  /* An event alone takes as long as the pause, at every endpoint.  */
  { "no-budget", { 0., 0. }, { 400., 1., 0. }, true },
  { "no-budget-waits", { 1., 0. }, { 400., 1., 0. }, false },
};

static void
test_admission (gconstpointer data)
{
  const admission_t *one = data;

  g_assert_cmpint (pau_admits (&one->endpoint, &one->prompt), ==,
                   one->admitted);
}

/* Guards against a prompt that is admitted nowhere, however idle the endpoints
   are: it would wait until it is refused.  */
static void
test_idle_admits (void)
{
  static const double shares[] = { 0.4, 0.7, 1., 2. };

  for (guint i = 0; i < G_N_ELEMENTS (shares); i++)
    for (unsigned own = 10; own < 1000000; own += own / 10)
      {
        pau_endpoint_t fastest = { .level = 0., .budget = 29600. };
        pau_prompt_t prompt
            = { .own = own, .share = shares[i], .max_budget = 29600. };

        g_assert_true (pau_admits (&fastest, &prompt));
      }
}

static const case_t fleets[] = {
  { "one", BACKLOG, 1, 1, 1, 1. },
  { "5-routers/5-ms", BACKLOG, 5, 5, 1, 1. },
  { "5-routers/50-ms", BACKLOG, 5, 50, 1, 1. },
  { "5-routers/300-ms", BACKLOG, 5, 300, 1, 1. },
  { "5-routers/50-ms/partition", BACKLOG, 5, 50, 2, 1. },
  { "29-routers/5-ms", BACKLOG, 29, 5, 1, 1. },
  { "29-routers/50-ms", BACKLOG, 29, 50, 1, 1. },
  { "29-routers/300-ms", BACKLOG, 29, 300, 1, 1. },
  { "29-routers/50-ms/partition", BACKLOG, 29, 50, 2, 1. },
  { "5-routers/5-ms/paced", PACED, 5, 5, 1, 1. },
  { "5-routers/50-ms/paced", PACED, 5, 50, 1, 1. },
  { "5-routers/300-ms/paced", PACED, 5, 300, 1, 1. },
  { "5-routers/5-ms/paced/partition", PACED, 5, 5, 2, 1. },
  { "29-routers/5-ms/paced", PACED, 29, 5, 1, 1. },
  { "29-routers/50-ms/paced", PACED, 29, 50, 1, 1. },
  { "29-routers/300-ms/paced", PACED, 29, 300, 1, 1. },
  { "29-routers/5-ms/paced/partition", PACED, 29, 5, 2, 1. },
  { "29-routers/5-ms/paced/underserved", PACED, 29, 5, 1, 2. },
};

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pau/recent", test_recent);
  g_test_add_func ("/pau/budget", test_budget);
  g_test_add_func ("/pau/share", test_share);
  g_test_add_func ("/pau/idle-admits", test_idle_admits);
  g_test_add_func ("/pau/others-count", test_others_count);
  for (guint i = 0; i < G_N_ELEMENTS (admissions); i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/pau/admission/%s", admissions[i].name);

      g_test_add_data_func (path, &admissions[i], test_admission);
    }
  for (guint i = 0; i < G_N_ELEMENTS (fleets); i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/pau/fleet/%s", fleets[i].name);

      g_test_add_data_func (path, &fleets[i], test_fleet);
    }
  return g_test_run ();
}
