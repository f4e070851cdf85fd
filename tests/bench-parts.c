/* Simulates fleets in which requests with one part in their prompts end
   endpoints, beside ends of other causes, and prints how many endpoints a
   lethal part ends until relay/prt.h finds it, and how many sound parts it
   takes for lethal.  All routers are assumed to have the same records.

   Usage: bench-parts [RUNS]  */

#include "relay/prt.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define DEFAULT_RUNS 400
#define TICK_MS 5
#define RUN_MS 60000
#define LETHAL_FROM_MS 5000
/* The platform allows MAX_LATE sends later than CONTACT_MS after so many ends.
 */
#define LETHAL_ENDS 5
#define CONTACT_MS 3000
#define MAX_LATE 3
/* Time to the first event, median and spread of its logarithm, and to the
   event that shows that an answer goes on.  */
#define FIRST_MS 120.
#define FIRST_SIGMA 0.7
#define NEXT_MS 40
#define DOWN_MS 3500
/* Routers notice an end at once, except overloaded ones.  */
#define LATE_SHARE 0.1
#define MAX_LATENESS_MS 200
/* A request that broke is sent again once, after this time.  */
#define REPEAT_MS 150
#define MAX_ENDPOINTS 640
#define MAX_KINDS 3
/* Parts of all kinds are numbered from here, kind by kind.  */
#define PARTS_PER_KIND 10000u
#define LETHAL_PART 99999999u

typedef struct
{
  double per_s;
  unsigned first_parts; /* most prompts begin with one of these */
  unsigned own_parts;   /* the second part */
} kind_t;

typedef struct
{
  const char *name;
  unsigned endpoints;
  kind_t kinds[MAX_KINDS];
} fleet_t;

/* Streams of deployments: requests a second, and parts of their prompts.  */
static const fleet_t fleets[] = {
  { "9 endpoints, 242 requests/s",
    9,
    { { 32., 1, 76 }, { 122., 20, 191 }, { 88., 8, 311 } } },
  { "12 endpoints, 370 requests/s",
    12,
    { { 50., 1, 100 }, { 186., 20, 250 }, { 134., 8, 400 } } },
  { "50 endpoints, 1,000 requests/s",
    50,
    { { 130., 1, 337 }, { 500., 20, 842 }, { 370., 8, 1368 } } },
  { "624 endpoints, 2,000 requests/s",
    624,
    { { 270., 4, 1394 }, { 1000., 40, 1674 }, { 730., 16, 2659 } } },
};

typedef struct
{
  const char *name;
  double lethal_per_s;
  bool is_first;      /* the lethal part is the first one */
  bool was_sound;     /* prompts with it were answered until then */
  double ends_per_s;  /* single endpoints, of other causes */
  double racks_per_s; /* several endpoints at one moment */
  unsigned rack;
} incident_t;

static const incident_t incidents[] = {
  { "second part, 1.5/s", 1.5, false, false, 0., 0., 0 },
  { "second part, 0.2/s", 0.2, false, false, 0., 0., 0 },
  { "second part, 10/s", 10., false, false, 0., 0., 0 },
  { "first part, 1.5/s", 1.5, true, false, 0., 0., 0 },
  { "sound before, 1.5/s", 1.5, false, true, 0., 0., 0 },
  { "sound before, 0.2/s", 0.2, false, true, 0., 0., 0 },
  { "1.5/s beside ends, 0.5/s", 1.5, false, false, 0.5, 0., 0 },
  { "sound before, 1.5/s beside 0.5/s", 1.5, false, true, 0.5, 0., 0 },
  { "1.5/s beside racks of 3", 1.5, false, false, 0., 0.1, 3 },
  { "none, ends 0.5/s", 0., false, false, 0.5, 0., 0 },
  { "none, ends 2/s", 0., false, false, 2., 0., 0 },
  { "none, racks of 4, 0.3/s", 0., false, false, 0., 0.3, 4 },
};

typedef struct
{
  unsigned number;
  unsigned parts[2];
  unsigned endpoint;
  int64_t goes_on_at; /* its answer; lethal ones end the endpoint instead */
  bool is_lethal;
  bool is_repeat;
  bool has_broken;
} request_t;

typedef struct
{
  const fleet_t *fleet;
  const incident_t *incident;
  GRand *random;
  prt_t *prt;
  GArray *running; /* request_t, whose answers have not gone on */
  GArray *repeats; /* request_t, to be sent at goes_on_at */
  int64_t up_at[MAX_ENDPOINTS];
  unsigned starts[MAX_ENDPOINTS];
  unsigned requests;
  unsigned lethal_ends;
  int64_t counted_from; /* sends from then on are late; 0: not yet */
  unsigned late;
  unsigned false_parts;
  int64_t found_at; /* 0: not found */
} run_t;

static double
draw_normal (GRand *random)
{
  return sqrt (-2. * log (1. - g_rand_double (random)))
         * cos (2. * G_PI * g_rand_double (random));
}

static bool
happens (run_t *run, double per_s)
{
  return g_rand_double (run->random) < per_s * TICK_MS / 1000.;
}

static void
on_quarantined (void *user, uint64_t part, const prt_state_t *state)
{
  run_t *run = user;

  if (part != LETHAL_PART)
    run->false_parts++;
}

/* Returns a random endpoint that is up; -1: none.  */
static int
draw_endpoint (run_t *run, int64_t now)
{
  for (unsigned i = 0; i < 20; i++)
    {
      int endpoint
          = g_rand_int_range (run->random, 0, (gint32)run->fleet->endpoints);

      if (now >= run->up_at[endpoint])
        return endpoint;
    }
  return -1;
}

static void
place (run_t *run, request_t request, int64_t now)
{
  int endpoint = draw_endpoint (run, now);
  double first_ms = FIRST_MS * exp (FIRST_SIGMA * draw_normal (run->random));

  for (unsigned i = 0; i < G_N_ELEMENTS (request.parts); i++)
    if (prt_find (run->prt, now, request.parts[i]).verdict != PRT_FREE)
      return;
  if (endpoint < 0)
    return;
  run->late += request.is_lethal && run->counted_from != 0
               && now > run->counted_from;
  request.endpoint = (unsigned)endpoint;
  request.goes_on_at
      = now + (int64_t)first_ms + (request.is_lethal ? 0 : NEXT_MS);
  g_array_append_val (run->running, request);
}

static void
arrive (run_t *run, unsigned kind, bool is_lethal, int64_t now)
{
  const kind_t *traits = &run->fleet->kinds[kind];
  unsigned base = kind * PARTS_PER_KIND;
  unsigned first = (unsigned)g_rand_int_range (run->random, 0,
                                               (gint32)traits->first_parts);
  unsigned own
      = (unsigned)g_rand_int_range (run->random, 0, (gint32)traits->own_parts);
  request_t request = { .number = ++run->requests,
                        .parts = { base + 5000 + first, base + own },
                        .is_lethal = is_lethal };

  if (is_lethal)
    request.parts[run->incident->is_first ? 0 : 1] = LETHAL_PART;
  place (run, request, now);
}

/* Returns how late the router of a request notices an end.  */
static int64_t
draw_lateness_ms (run_t *run)
{
  return g_rand_double (run->random) < LATE_SHARE
             ? g_rand_int_range (run->random, 0, MAX_LATENESS_MS)
             : 0;
}

static void
end_endpoint (run_t *run, unsigned endpoint, int64_t now)
{
  for (guint i = run->running->len; i-- > 0;)
    {
      request_t request = g_array_index (run->running, request_t, i);
      int64_t at = now + draw_lateness_ms (run);

      if (request.endpoint != endpoint)
        continue;
      g_array_remove_index_fast (run->running, i);
      for (unsigned j = 0; j < G_N_ELEMENTS (request.parts); j++)
        {
          prt_event_t end = { .kind = PRT_END,
                              .part = request.parts[j],
                              .endpoint = 1 + endpoint
                                          + (uint64_t)MAX_ENDPOINTS
                                                * run->starts[endpoint],
                              .request = request.number,
                              .at = at };

          prt_add (run->prt, now, &end);
        }
      if (request.is_repeat)
        continue;
      request.is_repeat = true;
      request.goes_on_at = now + REPEAT_MS;
      g_array_append_val (run->repeats, request);
    }
  run->starts[endpoint]++;
  run->up_at[endpoint] = now + DOWN_MS;
  prt_decide (run->prt, now, on_quarantined, run);
}

static void
go_on (run_t *run, const request_t *request, int64_t now)
{
  for (unsigned j = 0; j < G_N_ELEMENTS (request->parts); j++)
    prt_add (run->prt, now,
             &(prt_event_t){
                 .kind = PRT_ANSWER, .part = request->parts[j], .at = now });
}

static void
advance_requests (run_t *run, int64_t now)
{
  for (guint i = run->running->len; i-- > 0;)
    {
      request_t request;

      /* An end removes other requests, too.  */
      if (i >= run->running->len)
        continue;
      request = g_array_index (run->running, request_t, i);
      if (now < request.goes_on_at)
        continue;
      if (request.is_lethal)
        {
          if (++run->lethal_ends == LETHAL_ENDS)
            run->counted_from = now + CONTACT_MS;
          end_endpoint (run, request.endpoint, now);
          continue;
        }
      g_array_remove_index_fast (run->running, i);
      go_on (run, &request, now);
    }
  for (guint i = run->repeats->len; i-- > 0;)
    {
      request_t request = g_array_index (run->repeats, request_t, i);

      if (now < request.goes_on_at)
        continue;
      g_array_remove_index_fast (run->repeats, i);
      place (run, request, now);
    }
}

static void
end_others (run_t *run, int64_t now)
{
  const incident_t *incident = run->incident;
  unsigned count = 0;

  if (happens (run, incident->ends_per_s))
    count = 1;
  if (happens (run, incident->racks_per_s))
    count += incident->rack;
  for (unsigned i = 0; i < count; i++)
    {
      int endpoint = draw_endpoint (run, now);

      if (endpoint >= 0)
        end_endpoint (run, (unsigned)endpoint, now);
    }
}

static void
step (run_t *run, int64_t now)
{
  bool has_begun = now >= LETHAL_FROM_MS;

  for (unsigned kind = 0; kind < MAX_KINDS; kind++)
    {
      double expected = run->fleet->kinds[kind].per_s * TICK_MS / 1000.;

      for (unsigned i = 0; i < expected; i++)
        if (g_rand_double (run->random) < MIN (expected - i, 1.))
          arrive (run, kind, false, now);
    }
  if (has_begun && happens (run, run->incident->lethal_per_s))
    arrive (run, 1, true, now);
  if (has_begun)
    end_others (run, now);
  advance_requests (run, now);
  prt_decide (run->prt, now, on_quarantined, run);
  if (run->found_at == 0
      && prt_find (run->prt, now, LETHAL_PART).verdict != PRT_FREE)
    run->found_at = now;
}

static run_t
simulate (const fleet_t *fleet, const incident_t *incident, guint32 seed)
{
  run_t run = { .fleet = fleet,
                .incident = incident,
                .random = g_rand_new_with_seed (seed),
                .prt = prt_new ("router"),
                .running = g_array_new (FALSE, FALSE, sizeof (request_t)),
                .repeats = g_array_new (FALSE, FALSE, sizeof (request_t)) };

  if (incident->was_sound)
    prt_add (run.prt, LETHAL_FROM_MS,
             &(prt_event_t){ .kind = PRT_ANSWER,
                             .part = LETHAL_PART,
                             .at = LETHAL_FROM_MS });
  for (int64_t now = TICK_MS; now <= RUN_MS; now += TICK_MS)
    step (&run, now);
  prt_free (run.prt);
  g_array_unref (run.running);
  g_array_unref (run.repeats);
  g_rand_free (run.random);
  return run;
}

static int
compare_numbers (const void *a, const void *b)
{
  const unsigned *first = a;
  const unsigned *second = b;

  return (*first > *second) - (*first < *second);
}

static void
print_row (const fleet_t *fleet, const incident_t *incident, unsigned runs)
{
  g_autofree unsigned *ends = g_new (unsigned, runs);
  unsigned found = 0;
  unsigned total = 0;
  unsigned false_parts = 0;
  unsigned runs_with_false = 0;
  unsigned broken = 0;
  double found_s = 0.;

  for (unsigned i = 0; i < runs; i++)
    {
      run_t run = simulate (fleet, incident, i + 1);

      ends[i] = run.lethal_ends;
      total += run.lethal_ends;
      found += run.found_at != 0;
      if (run.found_at != 0)
        found_s += (double)(run.found_at - LETHAL_FROM_MS) / 1000.;
      broken += run.late > MAX_LATE;
      false_parts += run.false_parts;
      runs_with_false += run.false_parts > 0;
    }
  qsort (ends, runs, sizeof *ends, compare_numbers);
  if (incident->lethal_per_s > 0.)
    printf ("| %s | %u of %u | %.1f s | %.1f | %u | %u | %u | %u in %u runs "
            "|\n",
            incident->name, found, runs, found > 0 ? found_s / found : 0.,
            (double)total / runs, ends[runs * 95 / 100], ends[runs - 1],
            broken, false_parts, runs_with_false);
  else
    printf ("| %s | | | | | | | %u in %u runs |\n", incident->name,
            false_parts, runs_with_false);
}

int
main (int argc, char **argv)
{
  unsigned runs = argc > 1 ? (unsigned)strtoul (argv[1], NULL, 10) : 0;

  if (runs == 0)
    runs = DEFAULT_RUNS;
  for (unsigned i = 0; i < G_N_ELEMENTS (fleets); i++)
    {
      printf ("\n%s\n\n| incident of 55 s | found | after, mean | ends, mean "
              "| 95 in 100 | most | runs with over 3 late | sound parts "
              "quarantined |\n"
              "|---|---|---|---|---|---|---|---|\n",
              fleets[i].name);
      for (unsigned j = 0; j < G_N_ELEMENTS (incidents); j++)
        print_row (&fleets[i], &incidents[j], runs);
      fflush (stdout);
    }
  return EXIT_SUCCESS;
}
