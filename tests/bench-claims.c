/* Benchmark of the removal of claims: fills the platform with expired finished
   claims and prints the calls made until all are removed.

     bench-claims [CLAIMS [ROUTERS [CALLS_PER_SECOND]]]  */

#include "base/log.h"
#include "once/sweep.h"
#include "sp-test.h"

#include <stdio.h>
#include <stdlib.h>

#define MAX_ROUTERS 64
#define KEEP_S 256
#define AGES_SPEC                                                             \
  "{\"schema\":1,\"marks\":[{\"revision\":%u,\"age_ms\":1000000}]}"
#define CLAIM_SPEC                                                            \
  "{\"schema\":1,\"account\":\"mill\",\"attempt\":\"gone/1\",\"digest\":"     \
  "\"d\",\"state\":\"finished\",\"status\":201,\"type\":\"text/plain\","      \
  "\"body\":\"case 7\"}"

typedef struct
{
  unsigned routers;
  sweep_t *sweeps[MAX_ROUTERS];
} fleet_t;

typedef struct
{
  fleet_t *fleet;
  unsigned index;
} router_context_t;

static unsigned
get_router_count (void *user)
{
  return ((router_context_t *)user)->fleet->routers;
}

static bool
is_age_keeper (void *user)
{
  return ((router_context_t *)user)->index == 0;
}

static bool
is_held (void *user, const char *claim)
{
  return false;
}

static uint64_t
count_removed (const fleet_t *fleet)
{
  uint64_t sum = 0;

  for (unsigned i = 0; i < fleet->routers; i++)
    sum += sweep_get_counters (fleet->sweeps[i]).removed;
  return sum;
}

static unsigned
parse_argument (int argc, char **argv, int i, unsigned default_value)
{
  return argc > i ? (unsigned)strtoul (argv[i], NULL, 10) : default_value;
}

static void
print_report (const sp_t *sp, unsigned claims, cfd_time_t first,
              cfd_time_t last)
{
  static const char *const kinds[] = { "get", "list", "put", "delete" };
  double seconds = (double)(last - first) / 1000;

  printf ("claims %u, removed in %.1f s\n", claims, seconds);
  for (guint i = 0; i < G_N_ELEMENTS (kinds); i++)
    printf ("%s: %" G_GUINT64_FORMAT "\n", kinds[i],
            sp_count_calls (sp, kinds[i]));
  printf ("calls a second while it removes: %.1f\n",
          (double)sp_count_calls (sp, "total") / seconds);
}

int
main (int argc, char **argv)
{
  unsigned claims = parse_argument (argc, argv, 1, 1000);
  unsigned calls_per_s = parse_argument (argc, argv, 3, 50);
  fleet_t fleet = { .routers = MIN (parse_argument (argc, argv, 2, 8),
                                    (unsigned)MAX_ROUTERS) };
  router_context_t contexts[MAX_ROUTERS];
  sp_test_t test;
  cfd_time_t start;
  cfd_time_t first = 0;

  log_setup ("bench", LOG_ERROR, false);
  sp_test_setup (&test);
  for (unsigned i = 0; i < claims; i++)
    {
      g_autofree char *name = g_strdup_printf ("%032x", i * 2654435761u);

      sp_test_write_object (&test, "claim", name, CLAIM_SPEC);
    }
  {
    g_autofree char *ages = g_strdup_printf (AGES_SPEC, claims);

    sp_test_write_object (&test, "claim-sweep", "ages", ages);
  }
  for (unsigned i = 0; i < fleet.routers; i++)
    {
      const sweep_options_t setup
          = { KEEP_S,        calls_per_s, get_router_count,
              is_age_keeper, is_held,     &contexts[i] };

      contexts[i] = (router_context_t){ &fleet, i };
      fleet.sweeps[i] = sweep_new (test.plat, &setup);
    }
  start = clock_now ();
  while (count_removed (&fleet) < claims)
    {
      ev_run (test.loop, EVRUN_ONCE);
      if (first == 0 && sp_count_calls (test.sp, "list") > 0)
        first = clock_now ();
    }
  printf ("first page after %.1f s\n", (double)(first - start) / 1000);
  print_report (test.sp, claims, first, clock_now ());
  for (unsigned i = 0; i < fleet.routers; i++)
    sweep_free (fleet.sweeps[i]);
  sp_test_teardown (&test);
  return 0;
}
