/* What the removal of claims costs the platform: fills it with finished claims
   whose time is over and prints the calls until all are gone.
     bench-claims [CLAIMS [ROUTERS [CALLS_A_SECOND]]]  */

#include "base/log.h"
#include "once/sweep.h"
#include "sp-test.h"

#include <stdio.h>
#include <stdlib.h>

#define ROUTERS_MOST 64
#define KEPT_S 256
#define AGES "{\"schema\":1,\"marks\":[{\"revision\":%u,\"age_ms\":1000000}]}"
#define SPEC                                                                  \
  "{\"schema\":1,\"account\":\"mill\",\"attempt\":\"gone/1\",\"digest\":"     \
  "\"d\",\"state\":\"finished\",\"status\":201,\"type\":\"text/plain\","      \
  "\"body\":\"case 7\"}"

typedef struct
{
  unsigned routers;
  sweep_t *sweeps[ROUTERS_MOST];
} fleet_t;

typedef struct
{
  fleet_t *fleet;
  unsigned index;
} place_t;

static unsigned
routers (void *user)
{
  return ((place_t *)user)->fleet->routers;
}

static bool
keeps_ages (void *user)
{
  return ((place_t *)user)->index == 0;
}

static bool
is_held (void *user, const char *claim)
{
  return false;
}

static uint64_t
removed (const fleet_t *fleet)
{
  uint64_t sum = 0;

  for (unsigned i = 0; i < fleet->routers; i++)
    sum += sweep_get_counters (fleet->sweeps[i]).removed;
  return sum;
}

static unsigned
argument (int argc, char **argv, int i, unsigned standard)
{
  return argc > i ? (unsigned)strtoul (argv[i], NULL, 10) : standard;
}

static void
report (const sp_t *sp, unsigned claims, cfd_time_t first, cfd_time_t last)
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
  unsigned claims = argument (argc, argv, 1, 1000);
  unsigned calls = argument (argc, argv, 3, 50);
  fleet_t fleet = { .routers = MIN (argument (argc, argv, 2, 8),
                                    (unsigned)ROUTERS_MOST) };
  place_t places[ROUTERS_MOST];
  sp_test_t test;
  cfd_time_t begun;
  cfd_time_t first = 0;

  log_setup ("bench", LOG_ERROR, false);
  sp_test_setup (&test);
  for (unsigned i = 0; i < claims; i++)
    {
      g_autofree char *name = g_strdup_printf ("%032x", i * 2654435761u);

      sp_test_write_object (&test, "claim", name, SPEC);
    }
  {
    g_autofree char *ages = g_strdup_printf (AGES, claims);

    sp_test_write_object (&test, "claim-sweep", "ages", ages);
  }
  for (unsigned i = 0; i < fleet.routers; i++)
    {
      const sweep_options_t setup
          = { KEPT_S, calls, routers, keeps_ages, is_held, &places[i] };

      places[i] = (place_t){ &fleet, i };
      fleet.sweeps[i] = sweep_new (test.plat, &setup);
    }
  begun = clock_now ();
  while (removed (&fleet) < claims)
    {
      ev_run (test.loop, EVRUN_ONCE);
      if (first == 0 && sp_count_calls (test.sp, "list") > 0)
        first = clock_now ();
    }
  printf ("first page after %.1f s\n", (double)(first - begun) / 1000);
  report (test.sp, claims, first, clock_now ());
  for (unsigned i = 0; i < fleet.routers; i++)
    sweep_free (fleet.sweeps[i]);
  sp_test_teardown (&test);
  return 0;
}
