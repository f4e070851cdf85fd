/* What the client accounts got so far.  */

#include "load-tally.h"

struct load_tally
{
  const load_plan_t *plan;
  unsigned accounts;
  unsigned routers;
  load_sample_t all;
  load_sample_t *by_router;
};

static void
counts_init (load_sample_t *counts, unsigned accounts)
{
  counts->service = g_new0 (double, accounts);
  counts->started = g_new0 (double, accounts);
  counts->waiting = g_new0 (unsigned, accounts);
}

static void
counts_copy (load_sample_t *to, const load_sample_t *from, unsigned accounts,
             int64_t now_us)
{
  to->at_us = now_us;
  to->service = g_memdup2 (from->service, accounts * sizeof (double));
  to->started = g_memdup2 (from->started, accounts * sizeof (double));
  to->waiting = g_memdup2 (from->waiting, accounts * sizeof (unsigned));
  to->tokens = from->tokens;
  for (unsigned i = 0; i < accounts; i++)
    to->total_waiting += to->waiting[i];
}

static void
counts_clear (load_sample_t *counts)
{
  g_free (counts->service);
  g_free (counts->started);
  g_free (counts->waiting);
}

load_tally_t *
load_tally_new (const load_plan_t *plan)
{
  load_tally_t *tally = g_new0 (load_tally_t, 1);

  tally->plan = plan;
  tally->accounts = plan->accounts->len;
  tally->routers = plan->by_router ? plan->routers : 0;
  tally->by_router = g_new0 (load_sample_t, tally->routers);
  counts_init (&tally->all, tally->accounts);
  for (unsigned i = 0; i < tally->routers; i++)
    counts_init (&tally->by_router[i], tally->accounts);
  return tally;
}

void
load_tally_free (load_tally_t *tally)
{
  counts_clear (&tally->all);
  for (unsigned i = 0; i < tally->routers; i++)
    counts_clear (&tally->by_router[i]);
  g_free (tally->by_router);
  g_free (tally);
}

/* The part of the request's router; NULL where routers are not told apart.  */
static load_sample_t *
router_of (load_tally_t *tally, const load_request_t *request)
{
  return tally->routers > 0 ? &tally->by_router[request->router] : NULL;
}

static void
add_service (load_tally_t *tally, const load_request_t *request, double tokens)
{
  const load_account_t *account
      = tally->plan->accounts->pdata[request->account];
  load_sample_t *router = router_of (tally, request);

  tally->all.service[request->account] += tokens / account->weight;
  tally->all.tokens += tokens;
  if (router == NULL)
    return;
  router->service[request->account] += tokens / account->weight;
  router->tokens += tokens;
}

void
load_tally_add_waiting (load_tally_t *tally, const load_request_t *request)
{
  load_sample_t *router = router_of (tally, request);

  tally->all.waiting[request->account]++;
  if (router != NULL)
    router->waiting[request->account]++;
}

void
load_tally_remove_waiting (load_tally_t *tally, const load_request_t *request)
{
  load_sample_t *router = router_of (tally, request);

  tally->all.waiting[request->account]--;
  if (router != NULL)
    router->waiting[request->account]--;
}

void
load_tally_add_first_byte (load_tally_t *tally, const load_request_t *request)
{
  const load_account_t *account
      = tally->plan->accounts->pdata[request->account];
  load_sample_t *router = router_of (tally, request);
  double whole = (request->prompt_tokens + request->length) / account->weight;

  tally->all.started[request->account] += whole;
  if (router != NULL)
    router->started[request->account] += whole;
  load_tally_remove_waiting (tally, request);
  add_service (tally, request, request->prompt_tokens);
}

void
load_tally_add_tokens (load_tally_t *tally, const load_request_t *request,
                       unsigned count)
{
  add_service (tally, request, count);
}

load_sample_t *
load_tally_take_sample (const load_tally_t *tally, int64_t now_us)
{
  load_sample_t *sample = g_new0 (load_sample_t, 1);

  counts_copy (sample, &tally->all, tally->accounts, now_us);
  sample->routers = tally->routers;
  sample->by_router = g_new0 (load_sample_t, tally->routers);
  for (unsigned i = 0; i < tally->routers; i++)
    counts_copy (&sample->by_router[i], &tally->by_router[i], tally->accounts,
                 now_us);
  return sample;
}

void
load_sample_free (gpointer data)
{
  load_sample_t *sample = data;

  counts_clear (sample);
  for (unsigned i = 0; i < sample->routers; i++)
    counts_clear (&sample->by_router[i]);
  g_free (sample->by_router);
  g_free (sample);
}
