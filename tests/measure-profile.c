/* The deployments that the measurement knows.  */

#include "measure.h"
#include <string.h>

typedef struct
{
  const char *name;
  unsigned zones;
  unsigned models;
  unsigned plains;
  double zone_ms;
  double caller_ms;
  int routers;
  unsigned regions;
  double region_ms;
} profile_t;

static const profile_t profiles[]
    = { { "saeng-ruang", 4, 12, 4, 1.5, 1, 8, 1, 0 },
        { "adfer", 3, 9, 3, 1.5, 3, 8, 1, 0 },
        { "regions", 6, 12, 6, 1.5, 1, 12, 2, 10 },
        { "scale", 4, 12, 4, 1.5, 1, 8, 1, 0 } };

/* What a model account asks for; the sixteen accounts of a deployment are a
   few large ones, one that floods, small backlogged ones, two with one
   request at a time and two that work in turns.  */
typedef struct
{
  unsigned count;
  double weight;
  unsigned outstanding;
  double think_ms;
  double turn_ms;
} sort_t;

static const sort_t sorts[] = { { 2, 4, 40, 0, 0 },
                                { 1, 4, 120, 0, 0 },
                                { 9, 1, 14, 0, 0 },
                                { 2, 1, 1, 50, 0 },
                                { 2, 1, 14, 0, 1500 } };

#define SORT_SINGLE 3
#define PLAIN_CALLERS 6

static const profile_t *
find_profile (const char *name)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (profiles); i++)
    if (strcmp (profiles[i].name, name) == 0)
      return &profiles[i];
  return &profiles[0];
}

int
measure_default_routers (const char *profile)
{
  return find_profile (profile)->routers;
}

/* Shares of the routers for one account: all of it at one router, most of it
   at one of two, or falling from a favourite on.  */
static double *
make_spread (GRand *random, unsigned routers)
{
  double *router_shares = g_new0 (double, routers);
  unsigned favourite = (unsigned)g_rand_int_range (random, 0, (gint32)routers);
  double total = 0;

  switch (g_rand_int_range (random, 0, 4))
    {
    case 0:
      router_shares[favourite] = 1;
      return router_shares;
    case 1:
      router_shares[favourite] += 0.8;
      router_shares[(favourite + 1) % routers] += 0.2;
      return router_shares;
    default:
      break;
    }
  for (unsigned i = 0; i < routers; i++)
    total += 1.0 / (i + 1);
  for (unsigned i = 0; i < routers; i++)
    router_shares[(favourite + i) % routers] = 1.0 / (i + 1) / total;
  return router_shares;
}

static load_account_t *
account_new (deployment_t *deployment, unsigned number, GRand *random)
{
  load_account_t *account = g_new0 (load_account_t, 1);

  account->name = g_strdup_printf ("account-%u", number);
  account->key = g_strdup_printf ("key-of-account-%u", number);
  g_ptr_array_add (deployment->names, account->name);
  g_ptr_array_add (deployment->names, account->key);
  account->router_shares = make_spread (random, deployment->fleet.routers);
  account->min_answer_tokens = 16;
  account->max_answer_tokens = 48;
  return account;
}

/* Requests that an account of SORT holds at once, so that the load as a whole
   stays the same by endpoint whatever the number of accounts.  */
static unsigned
outstanding_of (const deployment_t *deployment, const sort_t *sort,
                unsigned scale, unsigned usual_models, unsigned held_percent)
{
  unsigned held = sort->outstanding;

  if (held > 1)
    held = held * deployment->fleet.models * held_percent
           / (usual_models * scale * 100);
  return MAX (held, 1);
}

static void
add_model_accounts (deployment_t *deployment, unsigned scale,
                    unsigned usual_models, unsigned held_percent,
                    GRand *random)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (sorts); i++)
    {
      if (i == SORT_SINGLE)
        deployment->single_first = deployment->load.accounts->len;
      for (unsigned j = 0; j < sorts[i].count * scale; j++)
        {
          load_account_t *account = account_new (
              deployment, deployment->load.accounts->len, random);
          account->weight = sorts[i].weight;
          account->outstanding = outstanding_of (deployment, &sorts[i], scale,
                                                 usual_models, held_percent);
          account->think_ms = sorts[i].think_ms;
          account->on_ms = sorts[i].turn_ms;
          account->off_ms = sorts[i].turn_ms;
          account->kinds[LOAD_STREAM] = 7;
          account->kinds[LOAD_COMPLETION] = 3;
          g_ptr_array_add (deployment->load.accounts, account);
        }
    }
  deployment->single_count = sorts[SORT_SINGLE].count * scale;
  deployment->model_accounts = deployment->load.accounts->len;
}

/* Callers of the plain service, with the keys of the first small accounts. */
static void
add_plain_callers (deployment_t *deployment, GRand *random)
{
  for (unsigned i = 0; i < PLAIN_CALLERS; i++)
    {
      load_account_t *account = account_new (deployment, i + 3, random);
      account->weight = 1;
      account->outstanding = 1;
      account->think_ms = 40;
      account->kinds[LOAD_LOOKUP] = 3;
      account->kinds[LOAD_POST] = 2;
      account->kinds[LOAD_POST_UNKEYED] = 1;
      g_ptr_array_add (deployment->load.accounts, account);
    }
}

/* All accounts that get records: those of the load, then idle ones.  */
static void
list_accounts (deployment_t *deployment, unsigned idle)
{
  unsigned count = deployment->model_accounts;
  fleet_account_t *accounts = g_new0 (fleet_account_t, count + idle);

  for (unsigned i = 0; i < count; i++)
    {
      const load_account_t *account = deployment->load.accounts->pdata[i];
      accounts[i].name = account->name;
      accounts[i].key = account->key;
      accounts[i].weight = account->weight;
    }
  for (unsigned i = count; i < count + idle; i++)
    {
      char *name = g_strdup_printf ("idle-%u", i);
      g_ptr_array_add (deployment->names, name);
      accounts[i] = (fleet_account_t){ name, name, 1 };
    }
  deployment->fleet.accounts = accounts;
  deployment->fleet.account_count = count + idle;
}

static void
account_free (gpointer data)
{
  load_account_t *account = data;

  g_free (account->router_shares);
  g_free (account);
}

deployment_t *
deployment_new (const measure_options_t *options)
{
  const profile_t *profile = find_profile (options->profile);
  bool one = strcmp (options->policy, "one") == 0;
  deployment_t *deployment = g_new0 (deployment_t, 1);
  GRand *random = g_rand_new_with_seed ((guint32)options->seed);
  fleet_plan_t *fleet = &deployment->fleet;
  load_plan_t *load = &deployment->load;

  deployment->names = g_ptr_array_new_with_free_func (g_free);
  fleet->zones = profile->zones;
  fleet->routers = one ? 1 : (unsigned)options->routers;
  fleet->models
      = options->models > 0 ? (unsigned)options->models : profile->models;
  fleet->plains = profile->plains;
  fleet->slots = 8;
  fleet->slots_cold = 1;
  fleet->plain_slots = 4;
  fleet->cold_ms = 1000;
  fleet->step_ms = 12;
  fleet->plain_call_ms = 30;
  fleet->zone_ms = profile->zone_ms;
  fleet->regions = profile->regions;
  fleet->region_ms = profile->region_ms;
  fleet->caller_ms = profile->caller_ms;
  fleet->seed = 11;
  fleet->policy = one ? "fleet" : options->policy;
  load->seed = (uint64_t)options->seed;
  load->answer_seed = fleet->seed;
  load->routers = fleet->routers;
  load->urls = g_new0 (char *, fleet->routers + 1);
  load->model = FLEET_MODEL_SERVICE;
  load->plain = FLEET_PLAIN_SERVICE;
  load->by_router = strcmp (options->event, "zone") != 0;
  load->exact_hints = options->exact_hints;
  load->idle_timeout_ms = 30000;
  load->accounts = g_ptr_array_new_with_free_func (account_free);
  add_model_accounts (deployment, (unsigned)MAX (options->accounts, 16) / 16,
                      profile->models, (unsigned)MAX (options->held, 1),
                      random);
  add_plain_callers (deployment, random);
  list_accounts (deployment, (unsigned)MAX (options->idle, 0));
  g_rand_free (random);
  return deployment;
}

void
deployment_connect (deployment_t *deployment, const fleet_t *fleet)
{
  for (unsigned i = 0; i < deployment->fleet.routers; i++)
    deployment->load.urls[i] = fleet_get_url (fleet, FLEET_ROUTER, i);
}

void
deployment_free (deployment_t *deployment)
{
  g_strfreev (deployment->load.urls);
  g_ptr_array_unref (deployment->load.accounts);
  g_ptr_array_unref (deployment->names);
  g_free ((gpointer)deployment->fleet.accounts);
  g_free (deployment);
}
